"""Random changes of bytes: single ones, numbers, whole parts."""

import random
import re

ODD_NUMBERS = (
    *(b"0", b"-1", b"1e999", b"nan", b"inf", b"-inf", b"1e-400", b"0x10", b"1_0"),
    *(b"9" * 20, b"9" * 400, b"9" * 5000, b"8\xc2\xb2", b"8\xb2", b"00", b"1.", b".5"),
    *(b"65535", b"65536", b"4294967296", b"18446744073709551616", b"null", b'"x"'),
)
ODD_BYTES = b'\x00\n\r:;,.="\\ {}[]09ax\x7f\x80\xb2\xff'
_NUMBER = re.compile(rb"\d+(?:\.\d+)?")


def mutate(rng: random.Random, data: bytes, *, single_byte: bool = False) -> bytes:
    """Return data with one to three random changes, or one of a single byte."""
    if single_byte:
        return rng.choice(_BYTE_CHANGES)(rng, data)
    for _ in range(rng.choice((1, 1, 1, 2, 3))):
        data = rng.choice(_CHANGES)(rng, data)
    return data


def _change_byte(rng: random.Random, data: bytes) -> bytes:
    at = rng.randrange(len(data) or 1)
    return data[:at] + bytes([_draw_byte(rng)]) + data[at + 1 :]


def _insert_byte(rng: random.Random, data: bytes) -> bytes:
    at = rng.randrange(len(data) + 1)
    return data[:at] + bytes([_draw_byte(rng)]) + data[at:]


def _delete_byte(rng: random.Random, data: bytes) -> bytes:
    at = rng.randrange(len(data) or 1)
    return data[:at] + data[at + 1 :]


def _cut(rng: random.Random, data: bytes) -> bytes:
    return data[: rng.randrange(len(data) + 1)]


def _double_part(rng: random.Random, data: bytes) -> bytes:
    start = rng.randrange(len(data) + 1)
    stop = min(len(data), start + rng.randrange(1, 40))
    return data[:stop] + data[start:stop] + data[stop:]


def _drop_part(rng: random.Random, data: bytes) -> bytes:
    start = rng.randrange(len(data) + 1)
    return data[:start] + data[start + rng.randrange(1, 40) :]


def _replace_number(rng: random.Random, data: bytes) -> bytes:
    numbers = list(_NUMBER.finditer(data))
    if not numbers:
        return _insert_byte(rng, data)
    number = rng.choice(numbers)
    return data[: number.start()] + rng.choice(ODD_NUMBERS) + data[number.end() :]


def _draw_byte(rng: random.Random) -> int:
    return rng.choice(ODD_BYTES) if rng.random() < 0.7 else rng.randrange(256)


_BYTE_CHANGES = (_change_byte, _insert_byte, _delete_byte, _cut)
_CHANGES = (
    *(*_BYTE_CHANGES, _double_part, _drop_part),
    *(_replace_number, _replace_number),
)
