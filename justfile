# Daily commands; `just` lists them. Each line also works when typed.

# Run formatter, linter and all tests, as CI does.
ci:
    .ci/run

# Run all tests.
test:
    scripts/test

# Show a small deployment at work.
demo:
    scripts/demo

# Format all code.
format:
    cargo fmt --all

# Make the page of result codes anew.
errors:
    cargo run -q -p acacia-code --example table > docs/ERRORS.md

# Measure broken flows, imbalance, speed and control traffic.
bench kind="flows" *options:
    cargo run --release -q -p acacia-bench -- {{kind}} {{options}}

# Play random faults against real balancers.
soak *options:
    cargo build --release -q -p acacia-node -p acacia-soak
    target/release/acacia-soak {{options}}
