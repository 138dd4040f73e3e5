"""Keys of the rows that store a job."""

from cactusridge.jobs.model import SHARDS, shard_of

# Number of digits of the item index in the keys of checkpoints, and of the
# position in the keys of results.
INDEX_DIGITS = 4
POSITION_DIGITS = 6


def head_prefixes() -> list[str]:
    """Return the prefixes that cover the keys of all job heads."""
    return [f'jobs/s{number}/' for number in range(SHARDS)]


def head_key(job_id: str) -> str:
    """Return the key of the row with a job's head."""
    return f'jobs/{shard_of(job_id)}/{job_id}'


def progress_key(job_id: str) -> str:
    """Return the key of the row with a job's progress."""
    return f'progress/{shard_of(job_id)}/{job_id}'


def payload_prefix(job_id: str) -> str:
    """Return the key prefix of the rows with a job's items."""
    return f'payload/{shard_of(job_id)}/{job_id}.'


def result_prefix(job_id: str) -> str:
    """Return the key prefix of the rows with a job's results."""
    return f'results/{shard_of(job_id)}/{job_id}.'


def checkpoint_key(job_id: str, index: int) -> str:
    """Return the key of the row with the checkpoint of an item."""
    return f'{checkpoint_prefix(job_id)}{index:0{INDEX_DIGITS}}'


def checkpoint_prefix(job_id: str) -> str:
    """Return the key prefix of the rows with a job's checkpoints."""
    return f'partial/{shard_of(job_id)}/{job_id}.'
