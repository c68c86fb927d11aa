"""Fuzzer of whole hosts between stand-ins, whose bytes it changes."""
