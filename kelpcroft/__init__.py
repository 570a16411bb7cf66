"""kelpcroft: a request router on real sockets round the decision module zincgrade."""
