//! Prints `docs/ERRORS.md`.

fn main() {
    print!("{}", acacia_code::page::render());
}
