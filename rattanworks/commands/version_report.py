"""Report of the configuration versions in force, lagging nodes and refusals."""

from collections import Counter, defaultdict

MAX_NAMED_NODES = 20


def version_report(replies):
    """Return the report on the nodes' StatusReplies as plain values for JSON."""
    newest = max((reply.head.version for reply in replies), default=0)
    in_force = Counter(reply.head.version for reply in replies)
    refused = _refusals_by_version(replies)
    versions = sorted({*in_force, *refused}, reverse=True)
    return {
        "newest_version": newest,
        "nodes_by_version": {str(key): in_force[key] for key in sorted(in_force)},
        "versions": [
            {
                "version": version,
                "in_force": in_force[version],
                "refused": refused[version],
            }
            for version in versions
        ],
        "lagging": [
            {
                "node": reply.node,
                "version": reply.head.version,
                "failure_domain": reply.failure_domain,
            }
            for reply in sorted(replies, key=lambda reply: reply.node)
            if reply.head.version < newest
        ],
    }


def _refusals_by_version(replies):
    refused_by_version = defaultdict(list)
    for reply in sorted(replies, key=lambda reply: reply.node):
        for refused in reply.refused:
            refused_by_version[refused.version].append(
                {"node": reply.node, "reason": refused.reason}
            )
    return refused_by_version


def version_lines(report):
    """Return the report as lines of text.

    Each list of nodes names at most MAX_NAMED_NODES and counts the others.
    """
    lines = [f"newest version in force: {report['newest_version']}"]
    for item in report["versions"]:
        lines.append(f"  version {item['version']}: in force on {item['in_force']}")
        by_reason = defaultdict(list)
        for refusal in item["refused"]:
            by_reason[refusal["reason"]].append(refusal["node"])
        lines += [
            f"    refused by {_format_nodes(nodes)}: {reason}"
            for reason, nodes in by_reason.items()
        ]
    lagging_by_version = defaultdict(list)
    for item in report["lagging"]:
        lagging_by_version[item["version"]].append(item["node"])
    lines += [
        f"  lagging at version {version}: {_format_nodes(nodes)}"
        for version, nodes in sorted(lagging_by_version.items())
    ]
    return lines


def _format_nodes(nodes):
    more = len(nodes) - MAX_NAMED_NODES
    named = ", ".join(nodes[:MAX_NAMED_NODES])
    return f"{named} and {more} more" if more > 0 else named
