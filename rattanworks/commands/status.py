"""`rattanworks status`: show versions in force, moves and endpoints."""

import time
from concurrent.futures import ThreadPoolExecutor

from rattanworks.adapters.grpc_control import GrpcControlPeers
from rattanworks.commands.base import EXIT_SUCCESS, Command, add_store_arguments
from rattanworks.commands.context import PEER_TIMEOUT_SECONDS, ask_any_node
from rattanworks.commands.version_report import version_lines, version_report
from rattanworks.exceptions import PeerUnavailableError
from rattanworks.model.control import REPLIES_BY_REQUEST, StatusRequest
from rattanworks.model.endpoint import EndpointState
from rattanworks.moves.rendering import render_service
from rattanworks.utils.codec import encode_json

REQUEST_THREADS = 32


class StatusCommand(Command):
    """Gets the member list from one node, then the status of each that is not gone."""

    name = "status"
    help = "show versions in force, moves and endpoints"

    def add_arguments(self, parser):
        """Declare the node to ask first."""
        parser.add_argument(
            "--node", help="control address of a node (default: found in the store)"
        )
        add_store_arguments(parser)
        parser.add_argument("--json", action="store_true")

    def run(self, arguments):
        """Print the status of the mesh."""
        peers = GrpcControlPeers(REPLIES_BY_REQUEST)
        first_reply = ask_any_node(peers, arguments, StatusRequest())
        report = _build_report(first_reply, _request_statuses(peers, first_reply))
        print(encode_json(report).decode() if arguments.json else _render(report))
        return EXIT_SUCCESS


def _request_statuses(peers, first_reply):
    def request(record):
        try:
            return peers.request(
                record.control_address, StatusRequest(), PEER_TIMEOUT_SECONDS
            )
        except PeerUnavailableError:
            return None

    present = [
        record for record in first_reply.members if record.state != EndpointState.GONE
    ]
    with ThreadPoolExecutor(REQUEST_THREADS) as executor:
        return dict(
            zip(
                (record.node for record in present),
                executor.map(request, present),
                strict=True,
            )
        )


def _build_report(first_reply, replies_by_node):
    replies = [reply for reply in replies_by_node.values() if reply]
    return {
        "nodes": len(replies_by_node),
        "silent": sorted(name for name, reply in replies_by_node.items() if not reply),
        **version_report(replies),
        "endpoints": [
            {
                "node": record.node,
                "service": record.service,
                "version": record.version,
                "failure_domain": record.failure_domain,
                "state": record.state.name.lower(),
            }
            for record in sorted(first_reply.members, key=lambda record: record.node)
        ],
        "services": first_reply.services,
    }


def _render(report):
    lines = [
        f"nodes: {report['nodes']}, silent: {len(report['silent'])}",
        *version_lines(report),
    ]
    lines += [
        f"endpoint {item['node']}: {item['service'] or '-'} {item['version'] or '-'} "
        f"in {item['failure_domain']}, {item['state']}"
        for item in report["endpoints"]
    ]
    lines += [render_service(state, time.time()) for state in report["services"]]
    return "\n".join(lines)
