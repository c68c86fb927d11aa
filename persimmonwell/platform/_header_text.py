"""Text of the configuration that is sent in header fields (RFC 9110, section 5.5)."""

import re

_UNSENDABLE = re.compile("[\x00-\x08\x0a-\x1f\x7f-\x9f\u2028\u2029\ud800-\udfff]")
"""Control characters, line separators and surrogates. Receivers end the field at some
of them or replace them."""


def is_header_text(text: str) -> bool:
    """Return whether a field carries a text so that no other one equals it there.

    Receivers strip white space at both ends, some of them all of Unicode's.
    """
    return text == text.strip() and _UNSENDABLE.search(text) is None


def encode_header_text(text: str) -> bytes:
    """Return a text as the value of a header field.

    Raises ValueError for one that a field cannot carry.
    """
    if not is_header_text(text):
        raise ValueError(f"{text!a} cannot be sent in a header field")
    return text.encode()


def decode_header_text(value: bytes) -> str:
    """Return the text in the value of a header field, which is Latin-1 if not UTF-8."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")
