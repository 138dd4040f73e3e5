"""Response bodies of the engine stand-in, in the OpenAI API format."""

from typing import Any

from cactusridge import wire
from standins.model import Stream


def completion(
    message: dict[str, Any],
    text: str,
    stream: Stream,
) -> dict[str, Any]:
    """Return the body of a response that is not streamed."""
    choice: dict[str, Any] = {'index': 0, 'finish_reason': 'stop'}
    kind = 'text_completion'
    if 'messages' in message:
        kind = 'chat.completion'
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {
        **_frame(kind, message),
        'choices': [choice],
        'usage': usage(stream),
    }


def chunk(message: dict[str, Any], text: str) -> dict[str, Any]:
    """Return the chunk of a streamed response that has one token."""
    choice: dict[str, Any] = {'index': 0, 'finish_reason': None}
    kind = 'text_completion'
    if 'messages' in message:
        kind = 'chat.completion.chunk'
        choice['delta'] = {'content': text}
    else:
        choice['text'] = text
    return {**_frame(kind, message), 'choices': [choice]}


def last_chunk(message: dict[str, Any], stream: Stream) -> dict[str, Any]:
    """Return the last chunk of a streamed response, with the usage."""
    return {**chunk(message, ''), 'choices': [], 'usage': usage(stream)}


def event(message: dict[str, Any]) -> bytes:
    """Return ``message`` encoded as a server-sent event."""
    return b'data: %b\n\n' % wire.encode(message)


def usage(stream: Stream) -> dict[str, int]:
    """Return the token counts; each prompt character counts as a token."""
    prompt = len(stream.prompt)
    return {
        'prompt_tokens': prompt,
        'completion_tokens': stream.tokens,
        'total_tokens': prompt + stream.tokens,
    }


def _frame(kind: str, message: dict[str, Any]) -> dict[str, Any]:
    return {
        'id': 'cmpl',
        'object': kind,
        'created': 0,
        'model': message.get('model'),
    }
