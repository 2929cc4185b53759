"""Routes for operators: configuration, history and status."""

from gentiantrestle.daemon.configuration.admin import Proposal
from gentiantrestle.daemon.configuration.document import KINDS, validate
from gentiantrestle.daemon.entry.routes import OPERATOR, route
from gentiantrestle.daemon.entry.service import Entry, RoutedRequest
from gentiantrestle.daemon.membership.view import Member, State
from gentiantrestle.errors import BAD_REQUEST, Refusal, RefusedError, refuse
from gentiantrestle.http.messages import Response, json_response

MAX_CONFIG_SIZE = 1024 * 1024  # bytes
REVISION = 'revision'


@route('GET', '/admin/config', OPERATOR)
async def show_config(entry: Entry, routed: RoutedRequest) -> Response:
    """Show the configuration that is in force here."""
    fleet = entry.components.configuration.fleet
    shown = {kind: fleet[kind] for kind in KINDS}
    return json_response({REVISION: fleet['revision'], **shown})


@route('PUT', '/admin/config', OPERATOR)
async def apply_config(entry: Entry, routed: RoutedRequest) -> Response:
    """Put a configuration in force; its revision is its base."""
    document = await routed.req.read_json(MAX_CONFIG_SIZE)
    based_on = document.get(REVISION)
    if not isinstance(based_on, int):
        raise refuse(BAD_REQUEST, 'The field "revision" is not an integer')
    applied = await entry.components.admin.apply(Proposal(document, based_on))
    if isinstance(applied, Refusal):
        raise RefusedError(applied)
    return json_response({REVISION: applied['revision']})


@route('POST', '/admin/check', OPERATOR)
async def check_config(entry: Entry, routed: RoutedRequest) -> Response:
    """List a configuration's problems without applying it."""
    document = await routed.req.read_json(MAX_CONFIG_SIZE)
    problems = [problem._asdict() for problem in validate(document)]
    return json_response({'problems': problems})


@route('GET', '/admin/history/{revision}', OPERATOR)
async def show_history(entry: Entry, routed: RoutedRequest) -> Response:
    """Show an earlier configuration."""
    text = routed.fields[REVISION]
    if not text.isdigit():
        raise refuse(BAD_REQUEST, f'{text!r} is not a revision number')
    return json_response(await entry.components.admin.read_revision(int(text)))


@route('GET', '/admin/status', OPERATOR)
async def show_status(entry: Entry, routed: RoutedRequest) -> Response:
    """Show what this instance knows of itself and of the fleet."""
    components = entry.components
    now = components.ctx.now()
    alive = set(components.membership.view.live_names(now))
    return json_response(
        {
            'instance': components.ctx.cfg.instance,
            'zone': components.ctx.cfg.zone,
            'ready': entry.ready,
            'config_revision': components.configuration.fleet['revision'],
            'config_age': components.ctx.wall()
            - components.configuration.applied_at,
            'store_reachable': components.store.reachable,
            'relay': components.configuration.is_relay(),
            'waiting': components.online.admission.waiting,
            'members': [
                _describe_member(member, member.instance in alive)
                for member in components.membership.view.members()
            ],
            'upstreams': components.upstreams.describe(now),
        }
    )


def _describe_member(member: Member, alive: bool) -> dict[str, object]:
    return {
        'instance': member.instance,
        'zone': member.zone,
        'state': State(member.state).name.lower(),
        'alive': alive,
        'config_revision': member.config_revision,
    }
