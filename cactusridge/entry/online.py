"""OpenAI-compatible online interface: completions and models."""

from collections.abc import Iterator
from typing import Any

from cactusridge import wire
from cactusridge.entry.request_fields import (
    forwarded_headers,
    read_request_fields,
)
from cactusridge.entry.responses import open_response, response_headers
from cactusridge.errors import BadRequest, CactusridgeError
from cactusridge.http.app import Route, route
from cactusridge.http.exchange import Reply, Req, json_reply
from cactusridge.settings.catalog import Service
from cactusridge.sidecar_dispatch.attempt import Attempt
from cactusridge.sidecar_dispatch.dispatch import Buffering, Dispatch
from cactusridge.sidecar_dispatch.entry_components import EntryComponents
from cactusridge.slo.sample import ResponseTimer

OK = 200
PREFIX_CHARS = 512
ERROR_EVENT = b'data: %b\n\n'


class StreamBroken(Exception):
    """Ends a streamed response without its closing chunk."""


def routing_prefix(message: dict[str, Any]) -> bytes:
    """Return the first PREFIX_CHARS of the prompt, for prefix routing."""
    if isinstance(message.get('prompt'), str):
        return message['prompt'][:PREFIX_CHARS].encode()
    return wire.encode(message.get('messages'))[:PREFIX_CHARS]


def validate_message(message: Any) -> dict[str, Any]:
    """Return ``message`` if it is a valid request; raise BadRequest."""
    if not isinstance(message, dict):
        raise BadRequest('the body has to be a JSON object')
    if not isinstance(message.get('model'), str):
        raise BadRequest('model has to be a string', param='model')
    if not isinstance(message.get('stream', False), bool | None):
        raise BadRequest('stream has to be true or false', param='stream')
    return message


class OnlineApi:
    """Serves online requests for models."""

    def __init__(self, parts: EntryComponents) -> None:
        """Serve with the components ``parts``."""
        self._parts = parts

    def routes(self) -> list[Route]:
        """Return the routes of this interface."""
        return [
            route('POST', '/v1/chat/completions', self.complete),
            route('POST', '/v1/completions', self.complete),
            route('GET', '/v1/models', self.models),
            route('GET', '/v1/models/(?P<name>.+)', self.model),
        ]

    def complete(self, req: Req) -> Reply:
        """Serve a completion, streamed or as one body."""
        caller = self._parts.access.caller(req.header('Authorization'))
        raw = req.body()
        message = validate_message(wire.decode(raw))
        self._validate_prompt(req, message)
        service = self._parts.catalog.model(message['model'], caller.team)
        fields = read_request_fields(
            req,
            service,
            self._parts.tree,
            caller.team,
            self._parts.clock,
        )
        streamed = bool(message.get('stream'))
        dispatch = Dispatch(
            service=service,
            team=caller.team,
            work=fields.work,
            method='POST',
            path=req.path,
            headers=forwarded_headers(req),
            body=raw,
            deadline_at=fields.deadline_at,
            repeatable=service.settings.repeatable,
            streamed=streamed,
            buffering=Buffering.first if streamed else Buffering.whole,
            prefix=routing_prefix(message),
            share=fields.share,
        )
        return self._serve(req, dispatch)

    def models(self, req: Req) -> Reply:
        """List the models that the caller's team may call."""
        caller = self._parts.access.caller(req.header('Authorization'))
        found = self._parts.catalog.models(caller.team)
        listed = [_model_entry(name, service) for name, service in found]
        return json_reply({'object': 'list', 'data': listed})

    def model(self, req: Req, name: str) -> Reply:
        """Describe one model."""
        caller = self._parts.access.caller(req.header('Authorization'))
        service = self._parts.catalog.model(name, caller.team)
        return json_reply(_model_entry(name, service))

    def _serve(self, req: Req, dispatch: Dispatch) -> Reply:
        response = open_response(self._parts, req, dispatch)
        attempt = response.attempt
        if dispatch.streamed and attempt.status == OK:
            blocks = self._stream(attempt, response.timer)
            return Reply(OK, response_headers(attempt), blocks)
        return response.as_reply()

    def _stream(
        self, attempt: Attempt, timer: ResponseTimer
    ) -> Iterator[bytes]:
        """Forward the stream; send an error event if the stream breaks."""
        try:
            for block in attempt.blocks():
                timer.record_block(block)
                yield block
        except CactusridgeError as exc:
            timer.record_error(exc)
            yield ERROR_EVENT % wire.encode({'error': exc.body()})
            # The connection is closed without the closing chunk, so that
            # no caller takes this response for a complete one.
            raise StreamBroken from exc
        except GeneratorExit:
            timer.record_disconnect()
            raise
        timer.record_complete(OK)

    def _validate_prompt(self, req: Req, message: dict[str, Any]) -> None:
        field = 'messages' if 'chat' in req.path else 'prompt'
        kinds = list if field == 'messages' else (str, list)
        if not isinstance(message.get(field), kinds):
            raise BadRequest(
                f'{field} is missing or has the wrong type', param=field
            )


def _model_entry(name: str, service: Service) -> dict[str, Any]:
    return {
        'id': name,
        'object': 'model',
        'created': 0,
        'owned_by': service.team,
    }
