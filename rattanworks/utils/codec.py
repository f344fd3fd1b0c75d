"""Encoding of frozen data classes for the store and for peers."""

import functools

import msgspec

encode_json = msgspec.json.Encoder(order="deterministic").encode
encode_binary = msgspec.msgpack.Encoder().encode

DecodeError = msgspec.DecodeError

JSON_HEADERS = (("Content-Type", "application/json"),)


@functools.cache
def _json_decoder(kind):
    return msgspec.json.Decoder(kind)


@functools.cache
def _binary_decoder(kind):
    return msgspec.msgpack.Decoder(kind)


def decode_json(content, kind):
    """Decode JSON bytes as ``kind``; raise DecodeError on a mismatch."""
    return _decode(_json_decoder(kind), content)


def decode_binary(content, kind):
    """Decode MessagePack bytes as ``kind``; raise DecodeError on a mismatch."""
    return _decode(_binary_decoder(kind), content)


def _decode(decoder, content):
    try:
        return decoder.decode(content)
    except UnicodeDecodeError as error:
        raise DecodeError(f"not valid UTF-8: {error}") from error
    except RecursionError as error:
        raise DecodeError("nested too deeply") from error
