"""Completions and models: the OpenAI-compatible online interface."""

from collections.abc import Iterator
from typing import Any

from cactusridge import wire
from cactusridge.entry.answering import answer_headers, begin_answer
from cactusridge.entry.request_fields import passed_headers, read_fields
from cactusridge.errors import BadRequest, CactusridgeError
from cactusridge.http.app import Route, route
from cactusridge.http.exchange import Reply, Req, json_reply
from cactusridge.settings.catalog import Service
from cactusridge.sidecar_dispatch.attempt import Attempt
from cactusridge.sidecar_dispatch.dispatch import Buffering, Dispatch
from cactusridge.sidecar_dispatch.entry_components import EntryComponents
from cactusridge.slo.sample import AnswerTimer

OK = 200
PREFIX_CHARS = 512
ERROR_EVENT = b'data: %b\n\n'


class AnswerBroken(Exception):
    """Ends a streamed answer without its closing chunk."""


def prefix_of(message: dict[str, Any]) -> bytes:
    """Return the first characters of the prompt, to route by."""
    if isinstance(message.get('prompt'), str):
        return message['prompt'][:PREFIX_CHARS].encode()
    return wire.encode(message.get('messages'))[:PREFIX_CHARS]


def check_message(message: Any) -> dict[str, Any]:
    """Return ``message`` if it is a request for a model."""
    if not isinstance(message, dict):
        raise BadRequest('the body has to be a JSON object')
    if not isinstance(message.get('model'), str):
        raise BadRequest('model has to be a string', param='model')
    if not isinstance(message.get('stream', False), bool | None):
        raise BadRequest('stream has to be true or false', param='stream')
    return message


class OnlineApi:
    """Answers online requests for models."""

    def __init__(self, parts: EntryComponents) -> None:
        """Serve with ``parts``."""
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
        """Answer a completion, streamed or whole."""
        caller = self._parts.access.caller(req.header('Authorization'))
        raw = req.body()
        message = check_message(wire.decode(raw))
        self._check_shape(req, message)
        service = self._parts.catalog.model(message['model'], caller.team)
        fields = read_fields(
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
            headers=passed_headers(req),
            body=raw,
            deadline_at=fields.deadline_at,
            repeatable=service.settings.repeatable,
            streamed=streamed,
            buffering=Buffering.first if streamed else Buffering.whole,
            prefix=prefix_of(message),
            share=fields.share,
        )
        return self._serve(req, dispatch)

    def models(self, req: Req) -> Reply:
        """List the models open to the caller's team."""
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
        answering = begin_answer(self._parts, req, dispatch)
        attempt = answering.attempt
        if dispatch.streamed and attempt.status == OK:
            blocks = self._stream(attempt, answering.timer)
            return Reply(OK, answer_headers(attempt), blocks)
        return answering.whole()

    def _stream(self, attempt: Attempt, timer: AnswerTimer) -> Iterator[bytes]:
        """Pass the stream on; end it with an error if it breaks."""
        try:
            for block in attempt.blocks():
                timer.block(block)
                yield block
        except CactusridgeError as exc:
            timer.refused(exc)
            yield ERROR_EVENT % wire.encode({'error': exc.body()})
            # The connection ends without the closing chunk, so that no
            # caller takes this for a whole answer.
            raise AnswerBroken from exc
        except GeneratorExit:
            timer.abandoned()
            raise
        timer.finished(OK)

    def _check_shape(self, req: Req, message: dict[str, Any]) -> None:
        field = 'messages' if 'chat' in req.path else 'prompt'
        kinds = list if field == 'messages' else (str, list)
        if not isinstance(message.get(field), kinds):
            raise BadRequest(
                f'{field} is missing or of a wrong type', param=field
            )


def _model_entry(name: str, service: Service) -> dict[str, Any]:
    return {
        'id': name,
        'object': 'model',
        'created': 0,
        'owned_by': service.team,
    }
