"""Benchmarks against theoretical bounds, a naive router and earlier versions."""
