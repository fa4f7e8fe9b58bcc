"""Why a request got 401, 429 or a refusal because of its customer, and what helps."""

from poplarlane.outcomes import ResultCode

EXPLANATIONS = {
    ResultCode.KEY_UNKNOWN: (
        "the request had no key, or one that is in no customer of the configuration in force, "
        "was given twice, is empty, longer than 256 bytes or not ASCII. A removed key is refused "
        "as soon as a node knows of the removal. Compare the number of the customer's keys: "
        "poplarctl customers NODE:PORT"
    ),
    ResultCode.CONFIGURATION_UNCONFIRMED: (
        "the node could not confirm its configuration in time, so the key or route may be newer "
        "than what it knows. Look for store_lost in its log, and compare configuration_version"
    ),
    ResultCode.QUOTA_EXCEEDED: (
        "the customer has used up its quota over all nodes. The cause in brackets: share: the "
        "fleet's digest admits a share of its requests; local: the node got many more requests "
        "than usual since the last digest; isolated: the node hears of no other node and admits "
        "only its part. See admitted_share, tokens and digest_age: poplarctl customers NODE:PORT"
    ),
}
STATUSES = {"401": [ResultCode.KEY_UNKNOWN], "429": [ResultCode.QUOTA_EXCEEDED]}


def codes_of(text: str) -> list[ResultCode]:
    """Return the result codes that a status or code stands for; none for another text."""
    named = [code for code in EXPLANATIONS if text in (str(int(code)), code.name.lower())]
    return STATUSES.get(text, named)


def explanation_lines(text: str) -> list[str]:
    """Explain a status or result code; nothing if it has no explanation here."""
    return [f"{int(code)} {code.name.lower()}: {EXPLANATIONS[code]}" for code in codes_of(text)]
