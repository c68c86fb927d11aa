"""Tests of texts of the configuration that are sent in header fields."""

import pytest

from persimmonwell.platform import decode_config
from persimmonwell.platform._header_text import (
    decode_header_text,
    encode_header_text,
    is_header_text,
)

SENDABLE = [
    *("range", "alpha beta", "alpha\tbeta", "caf\u00e9", "cafe\u0301", ""),
    *("\u0645\u0633\u0642\u0637", "\u0633\u0627\u0644\u0645", "a\u2003b", "a\u3000b"),
    *("\U0001f3f9", "????", "a%0d"),
]
UNSENDABLE = [
    *("a\r\nTenant: other", "a\nb", "a\rb", "a\0b", "alpha ", " alpha", "\talpha"),
    *(" ", "\u2003", "\u3000", "alpha\u00a0", "alpha\u0085", "a\u0085b", "a\x7fb"),
    *("a\x1bb", "a\u2028b"),
]


@pytest.mark.parametrize("text", SENDABLE, ids=ascii)
def test_text_arrives_unchanged(text: str) -> None:
    """Guards against names of which a replica gets only question marks."""
    assert is_header_text(text)
    assert decode_header_text(encode_header_text(text).strip()) == text


def test_texts_that_are_sent_differ_on_the_wire() -> None:
    """Guards against two tenants that replicas know under one name."""
    assert len({encode_header_text(text) for text in SENDABLE}) == len(SENDABLE)


@pytest.mark.parametrize("text", UNSENDABLE, ids=ascii)
def test_text_that_a_field_cannot_carry_is_not_sent(text: str) -> None:
    """Guards against a name that ends its field, or equals another one there."""
    assert not is_header_text(text)
    with pytest.raises(ValueError, match="cannot be sent"):
        encode_header_text(text)


@pytest.mark.parametrize(
    ("value", "text"), [(b"caf\xc3\xa9", "caf\u00e9"), (b"caf\xe9", "caf\u00e9")]
)
def test_key_is_read_in_both_encodings(value: bytes, text: str) -> None:
    """Guards against 401 for a key of the configuration with other letters."""
    assert decode_header_text(value) == text


def test_configuration_is_accepted_whatever_its_tenants_are_called() -> None:
    """Guards against one name that keeps a whole configuration from use."""
    tenants = b'[{"name":"a\\r\\nTenant: other"},{"name":"other"}]'
    document = b'{"version":1,"routes":[],"services":[],"tenants":%b}' % tenants
    config = decode_config(document)
    assert [tenant.can_be_sent for tenant in config.tenants or ()] == [False, True]
