"""How long a process that works correctly may send nothing."""

# The longest silence, in seconds, after which a sound server goes on. Nothing
# that ends work or takes a process for gone may rely on a shorter one.
MAX_SOUND_SILENCE_S = 2.0
