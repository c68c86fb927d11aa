"""Measure the project against bounds and its own earlier versions."""
