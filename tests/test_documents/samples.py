"""Sample documents for tests."""

from ragwortchute import documents

BALANCERS = ('random', 'slot_shares')

SERVICE_YAML = """
service: dispatch
targets:
- {name: d1, address: '10.0.0.1:80', failure_domain: luzon-makati,
   region: luzon, slots: 4}
- {name: d2, address: '10.1.0.1:80', failure_domain: visayas-cebu,
   region: visayas, slots: 4}
routes:
- name: rides
  methods: [POST]
  path_prefix: /rides
  homes: [luzon]
  tenant_homes: {acme: [visayas]}
  deadline_ms: 500
- {name: rest, idempotent: true}
"""

DEPLOYMENT_YAML = """
failure_domains:
  luzon-makati: {region: luzon}
  luzon-pasig: {region: luzon}
  visayas-cebu: {region: visayas}
store_region: luzon
"""


def service(*routes: documents.Route, **fields) -> documents.ServiceDocument:
    """Returns a service document with one target in each of two regions.

    Args:
        *routes: Routes; by default one that matches every call.
        **fields: Other fields of the document.
    """
    targets = tuple(
        documents.Target(f'd{i}', f'10.{i}.0.1:80', domain, region, 4)
        for i, (domain, region) in enumerate(
            [('luzon-makati', 'luzon'), ('visayas-cebu', 'visayas')]
        )
    )
    return documents.ServiceDocument(
        service='dispatch',
        targets=targets,
        routes=routes or (documents.Route('rest'),),
        **fields,
    )
