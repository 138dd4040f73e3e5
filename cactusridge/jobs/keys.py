"""Where a job's rows are in the store."""

from cactusridge.jobs.model import SHARDS, shard_of

# Digits in the keys of unfinished outputs and of results.
INDEX_DIGITS = 4
POSITION_DIGITS = 6


def head_prefixes() -> list[str]:
    """Return the prefixes below which the heads of all jobs are."""
    return [f'jobs/s{number}/' for number in range(SHARDS)]


def head_key(job_id: str) -> str:
    """Return the key of a job's head."""
    return f'jobs/{shard_of(job_id)}/{job_id}'


def progress_key(job_id: str) -> str:
    """Return the key of a job's progress."""
    return f'progress/{shard_of(job_id)}/{job_id}'


def payload_prefix(job_id: str) -> str:
    """Return the prefix of the rows with a job's items."""
    return f'payload/{shard_of(job_id)}/{job_id}.'


def result_prefix(job_id: str) -> str:
    """Return the prefix of the rows with a job's results."""
    return f'results/{shard_of(job_id)}/{job_id}.'


def partial_key(job_id: str, index: int) -> str:
    """Return the key of an item's unfinished output."""
    return f'{partial_prefix(job_id)}{index:0{INDEX_DIGITS}}'


def partial_prefix(job_id: str) -> str:
    """Return the prefix of the rows with unfinished outputs."""
    return f'partial/{shard_of(job_id)}/{job_id}.'
