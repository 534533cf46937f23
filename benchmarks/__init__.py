"""Benchmarks, the demo and the randomised test run; all use the loopback interface."""
