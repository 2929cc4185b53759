"""Routes for the report on burn rates of service-level objectives."""

from html import escape

from gentiantrestle.daemon.entry.routes import OPERATOR, route
from gentiantrestle.daemon.entry.service import Entry, RoutedRequest
from gentiantrestle.daemon.report.burn import OBJECTIVES, Risk, Row
from gentiantrestle.daemon.report.service import (
    FLEET_SCOPE,
    SCOPES,
    GatheredReport,
)
from gentiantrestle.errors import BAD_REQUEST, refuse
from gentiantrestle.http.messages import Response, json_response

HTML_TYPE = 'text/html; charset=utf-8'
BAR_WIDTH = 200  # pixels
MAX_BAR_BURN = 10  # burn rate of a full bar
OK_COLOUR = '#2a7'
BAD_COLOUR = '#c33'
BURN_BAR = (
    '<svg width="{full}" height="12">'
    '<rect width="{width}" height="12" fill="{colour}"/></svg>'
)
PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body {{ font-family: sans-serif; margin: 2em; }}
td, th {{ padding: 0.2em 0.8em; text-align: left; }}
svg {{ vertical-align: middle; }}
</style></head><body>
<h1>Service-level burn, {scope}</h1>
<p>A burn of 1 uses the error budget up exactly.
Missing instances: {missing}.</p>
<table><tr><th>endpoint</th><th>objective</th><th>window</th>
<th>good</th><th>bad</th><th>burn</th><th></th></tr>{rows}</table>
<h2>Running jobs</h2>
<table><tr><th>job</th><th>account</th><th>deadline</th><th>predicted end</th>
<th>at risk</th></tr>{risks}</table>
</body></html>
"""


@route('GET', '/admin/report', OPERATOR)
async def answer_report(entry: Entry, routed: RoutedRequest) -> Response:
    """Report burn rates and jobs at risk as JSON."""
    scope = _read_scope(routed)
    gathered = await entry.components.reporter.gather(scope)
    risks = await entry.components.reporter.risks()
    return json_response(
        {
            'scope': scope,
            'missing': gathered.missing,
            'objectives': {
                name: objective._asdict()
                for name, objective in OBJECTIVES.items()
            },
            'rows': [
                {**row._asdict(), 'burn': row.burn} for row in gathered.rows
            ],
            'jobs': [risk._asdict() for risk in risks],
        }
    )


@route('GET', '/admin/report.html', OPERATOR)
async def answer_report_page(entry: Entry, routed: RoutedRequest) -> Response:
    """Report burn rates and jobs at risk as an HTML page with bars."""
    scope = _read_scope(routed)
    gathered = await entry.components.reporter.gather(scope)
    risks = await entry.components.reporter.risks()
    return Response(
        body=_render_page(scope, gathered, risks), content_type=HTML_TYPE
    )


def _read_scope(routed: RoutedRequest) -> str:
    scope = [*routed.req.query_values('scope'), FLEET_SCOPE][0]
    if scope not in SCOPES:
        known = ', '.join(SCOPES)
        raise refuse(BAD_REQUEST, f'scope is not one of {known}')
    return scope


def _render_page(
    scope: str, gathered: GatheredReport, risks: list[Risk]
) -> bytes:
    return PAGE.format(
        scope=escape(scope),
        missing=escape(', '.join(gathered.missing) or 'none'),
        rows=''.join(map(_render_row, gathered.rows)),
        risks=''.join(map(_render_risk, risks)),
    ).encode()


def _render_row(row: Row) -> str:
    share = min(1, row.burn / MAX_BAR_BURN)
    colour = OK_COLOUR if row.burn <= 1 else BAD_COLOUR
    width = round(share * BAR_WIDTH)
    burn_bar = BURN_BAR.format(full=BAR_WIDTH, width=width, colour=colour)
    return _render_cells(
        row.endpoint,
        row.objective,
        f'{row.window} s',
        row.good,
        row.bad,
        round(row.burn, 2),
        html=burn_bar,
    )


def _render_risk(risk: Risk) -> str:
    at_risk = 'yes' if risk.at_risk else 'no'
    predicted = 'unknown' if risk.predicted is None else round(risk.predicted)
    deadline = round(risk.deadline)
    return _render_cells(risk.job, risk.client, deadline, predicted, at_risk)


def _render_cells(*shown: object, html: str = '') -> str:
    texts = [escape(str(cell)) for cell in shown]
    cells = ''.join(f'<td>{text}</td>' for text in (*texts, html))
    return f'<tr>{cells}</tr>'
