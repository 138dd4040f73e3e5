"""Batch jobs over the OpenAI client, for tests with real processes."""

import json
from collections import Counter
from typing import Any

from openai import APIError, OpenAI

from standins.waiting import wait_for


def submit_to(url: str, texts: list[str], tokens: int, window: str) -> str:
    """Submit a job to the entry at ``url``; return its id."""
    return submit(OpenAI(api_key='demo', base_url=url), texts, tokens, window)


def submit(
    api: OpenAI,
    texts: list[str],
    tokens: int,
    window: str = '24h',
) -> str:
    """Upload and create a job; return its id."""
    lines = [
        json.dumps(
            {
                'custom_id': f'id-{number}',
                'method': 'POST',
                'url': '/v1/chat/completions',
                'body': {
                    'model': 'yazman',
                    'messages': [{'role': 'user', 'content': text}],
                    'max_tokens': tokens,
                },
            },
        )
        for number, text in enumerate(texts)
    ]
    sent = api.files.create(
        file=('a.jsonl', '\n'.join(lines).encode()),
        purpose='batch',
    )
    job = api.batches.create(
        input_file_id=sent.id,
        endpoint='/v1/chat/completions',
        completion_window=window,
    )
    return job.id


def wait_completed(api: OpenAI, job: str) -> Any:
    """Wait until a job is completed and return it; ignore API errors.

    Raises ``NotReady`` after 90 s.
    """

    def completed() -> Any:
        try:
            found = api.batches.retrieve(job)
        except APIError:
            return None
        return found if found.status == 'completed' else None

    return wait_for(job, completed, 90)


def result_counts(api: OpenAI, job: str) -> Counter[str]:
    """Return how many output lines each ``custom_id`` has."""
    text = api.files.content(f'file-out-{job}').text
    return Counter(json.loads(line)['custom_id'] for line in text.splitlines())


def once(count: int) -> Counter[str]:
    """Return the counts of a job whose ``count`` items each have one line."""
    return Counter(f'id-{number}' for number in range(count))
