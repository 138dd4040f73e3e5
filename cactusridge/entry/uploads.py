"""Parses a multipart upload while it is received."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from multipart import (
    MultipartError,
    MultipartSegment,
    PushMultipartParser,
    parse_options_header,
)

from cactusridge.errors import BadRequest, SlowRequest, TooLarge
from cactusridge.http.exchange import Req
from cactusridge.http.unpaused_time import UnpausedTimeout

MAX_FIELD_BYTES = 4096
Blocks = Iterator[bytes]


class Upload(NamedTuple):
    """The form fields of an upload, and the result of accepting its file.

    ``accepted`` is None if the upload had no file.
    """

    fields: dict[str, str]
    accepted: Any


class UploadReader:
    """Streams the uploaded file to a consumer and collects form fields."""

    def __init__(
        self, req: Req, max_bytes: int, block_timeout_s: float
    ) -> None:
        """Read the upload from ``req``.

        A ``Content-Length`` over ``max_bytes`` is rejected. Each block has
        to arrive within ``block_timeout_s`` seconds.
        """
        self._req = req
        self._max_bytes = max_bytes
        self._block_timeout_s = block_timeout_s

    def read(self, accept: Callable[[str, Blocks], Any]) -> Upload:
        """Call ``accept`` with the file's name and blocks; return the upload.

        Raises BadRequest for a malformed or truncated upload, TooLarge for
        one over a size limit, and SlowRequest if a block does not arrive
        in time.
        """
        parsed = iter(self._events())
        fields: dict[str, str] = {}
        accepted = None
        try:
            for segment in parsed:
                if not isinstance(segment, MultipartSegment):
                    continue
                if segment.filename is None:
                    fields[segment.name] = _read_field(parsed)
                else:
                    accepted = accept(segment.filename, _blocks(parsed))
        except MultipartError as exc:
            raise BadRequest(
                f'the upload is malformed or truncated: {exc}'
            ) from exc
        return Upload(fields, accepted)

    def _events(self) -> Iterator[Any]:
        length = self._req.content_length()
        if length is not None and length > self._max_bytes:
            raise TooLarge(f'the upload is over {self._max_bytes} bytes')
        kind, options = parse_options_header(self._req.header('Content-Type'))
        if kind != 'multipart/form-data' or not options.get('boundary'):
            raise BadRequest(
                'the body has to be multipart/form-data with a boundary',
                param='Content-Type',
            )
        parser = PushMultipartParser(
            options['boundary'],
            content_length=-1 if length is None else length,
        )
        return parser.parse_blocking(self._block)

    def _block(self, size: int) -> bytes:
        source = self._req.environ['wsgi.input']
        try:
            with UnpausedTimeout(self._block_timeout_s, SlowRequest()):
                return source.read(size)
        except OSError as exc:
            raise BadRequest(
                f'the connection of the upload failed: {exc}'
            ) from exc


def _read_field(parsed: Iterator[Any]) -> str:
    raw = b''
    for block in _blocks(parsed):
        raw += block
        if len(raw) > MAX_FIELD_BYTES:
            raise TooLarge(f'a form field is over {MAX_FIELD_BYTES} bytes')
    return raw.decode(errors='replace')


def _blocks(parsed: Iterator[Any]) -> Blocks:
    for block in parsed:
        if block is None:
            return
        yield block
