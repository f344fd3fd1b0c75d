"""Types of command line arguments."""

import argparse


def positive_number(text):
    """Parse a whole number of at least 1."""
    return _whole_number(text, 1)


def version_number(text):
    """Parse a version number; 0 stands for empty lists."""
    return _whole_number(text, 0)


def _whole_number(text, minimum):
    if not (text.isascii() and text.isdecimal()) or int(text) < minimum:
        raise argparse.ArgumentTypeError(
            f"expected a whole number from {minimum}, found {text!r}"
        )
    return int(text)
