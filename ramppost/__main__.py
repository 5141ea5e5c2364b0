"""Runs the command line: `python -m ramppost`."""

from ramppost.cli.main import main

main()
