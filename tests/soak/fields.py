"""Header fields of any legal form, which must reach the other side as they were sent.

Python's HTTP modules encode and decode fields as Latin-1, so that equal strings are equal bytes.
"""

import random

# The last one has every character that a name may have besides letters, digits and hyphens.
NAMES = ("X-Note", "Set-Cookie", "X!#$%&'*+.^_`|~9")
MAX_FIELDS = 4
MAX_LONG_VALUE = 1500
MAX_DETAIL = 300
# Share of the values that are empty, that are long, and that are text in UTF-8.
EMPTY_SHARE, LONG_SHARE, TEXT_SHARE = 0.15, 0.05, 0.2
TEXTS = ("café", "Ærø", "日本語", 'naïve, «quoted»; a="b\\"c"')
VISIBLE = bytes(range(0x21, 0x7F)).decode("latin-1")
OBS_TEXT = bytes(range(0x80, 0x100)).decode("latin-1")
INNER = VISIBLE + OBS_TEXT + 20 * " \t"


def draw(side, request):
    """Return the fields, as pairs, that one side sends with a request or its answer.

    The same side and request have the same fields, so that the other side knows what to expect.
    """
    draws = random.Random(f"{side} {request}")
    return [(draws.choice(NAMES), _value(draws)) for _ in range(draws.randint(0, MAX_FIELDS))]


def _value(draws):
    kind = draws.random()
    if kind < EMPTY_SHARE:
        return ""
    if kind < EMPTY_SHARE + TEXT_SHARE:
        return draws.choice(TEXTS).encode().decode("latin-1")
    longest = MAX_LONG_VALUE if kind < EMPTY_SHARE + TEXT_SHARE + LONG_SHARE else 20
    ends = VISIBLE + OBS_TEXT
    inner = "".join(draws.choices(INNER, k=draws.randint(0, longest)))
    return f"{draws.choice(ends)}{inner}{draws.choice(ends)}"


def difference(message, side, request):
    """Return what differs between the fields that a side sent and a message, None for nothing."""
    sent = draw(side, request)
    for name in NAMES:
        expected = [value for sent_name, value in sent if sent_name == name]
        received = message.get_all(name, [])
        if received != expected:
            difference = f"{side}'s {name}: {received!a} instead of {expected!a}"
            return difference[:MAX_DETAIL]
    return None
