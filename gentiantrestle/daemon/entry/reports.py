"""Routes of the report on service-level burn."""

from html import escape

from gentiantrestle.daemon.entry.routes import OPERATOR, route
from gentiantrestle.daemon.entry.service import Entry, Visit
from gentiantrestle.daemon.report.burn import OBJECTIVES, Risk, Row
from gentiantrestle.daemon.report.service import FLEET, SCOPES, Gathered
from gentiantrestle.errors import BAD_REQUEST, refuse
from gentiantrestle.http.messages import Response, json_response

HTML = 'text/html; charset=utf-8'
BAR_WIDTH = 200  # pixels
FULL_BURN = 10
OK_COLOUR = '#2a7'
BAD_COLOUR = '#c33'
PLOT = (
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
<p>A burn of 1 uses the budget up just in time.
Missing instances: {missing}.</p>
<table><tr><th>endpoint</th><th>objective</th><th>window</th>
<th>good</th><th>bad</th><th>burn</th><th></th></tr>{rows}</table>
<h2>Running jobs</h2>
<table><tr><th>job</th><th>account</th><th>deadline</th><th>predicted end</th>
<th>at risk</th></tr>{risks}</table>
</body></html>
"""


@route('GET', '/admin/report', OPERATOR)
async def answer_report(entry: Entry, visit: Visit) -> Response:
    """Report burn rates and jobs at risk as JSON."""
    scope = _scope(visit)
    gathered = await entry.parts.reporter.gather(scope)
    risks = await entry.parts.reporter.risks()
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
async def answer_report_page(entry: Entry, visit: Visit) -> Response:
    """Report burn rates and jobs at risk as a page with plots."""
    scope = _scope(visit)
    gathered = await entry.parts.reporter.gather(scope)
    risks = await entry.parts.reporter.risks()
    return Response(body=_page(scope, gathered, risks), content_type=HTML)


def _scope(visit: Visit) -> str:
    scope = [*visit.req.query_values('scope'), FLEET][0]
    if scope not in SCOPES:
        known = ', '.join(SCOPES)
        raise refuse(BAD_REQUEST, f'scope is not one of {known}')
    return scope


def _page(scope: str, gathered: Gathered, risks: list[Risk]) -> bytes:
    return PAGE.format(
        scope=escape(scope),
        missing=escape(', '.join(gathered.missing) or 'none'),
        rows=''.join(map(_row, gathered.rows)),
        risks=''.join(map(_risk, risks)),
    ).encode()


def _row(row: Row) -> str:
    share = min(1, row.burn / FULL_BURN)
    colour = OK_COLOUR if row.burn <= 1 else BAD_COLOUR
    width = round(share * BAR_WIDTH)
    plot = PLOT.format(full=BAR_WIDTH, width=width, colour=colour)
    return _cells(
        row.endpoint,
        row.objective,
        f'{row.window} s',
        row.good,
        row.bad,
        round(row.burn, 2),
        raw=plot,
    )


def _risk(risk: Risk) -> str:
    at_risk = 'yes' if risk.at_risk else 'no'
    predicted = 'unknown' if risk.predicted is None else round(risk.predicted)
    deadline = round(risk.deadline)
    return _cells(risk.job, risk.client, deadline, predicted, at_risk)


def _cells(*shown: object, raw: str = '') -> str:
    texts = [escape(str(cell)) for cell in shown]
    cells = ''.join(f'<td>{text}</td>' for text in (*texts, raw))
    return f'<tr>{cells}</tr>'
