mod batch;
