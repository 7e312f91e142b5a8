"""Randomized soak test of gateway host processes with injected faults.

Each host is the real program, listening on a loopback address. The store and
the targets are stand-ins in this process, and each host reaches the store
through a fault-injecting proxy. Random faults start one after another and may
overlap. The run checks that

- a non-idempotent request runs at most once,
- a request refused with a status that means "not run" has not run,
- a successful response is complete and belongs to the caller's own request,
- a removed target or an evacuated failure domain receives no request after
  its time limit from hosts that could reach the store throughout,
- no request is lost that a sound target has run, or that a sound host has read,
  also on connections that callers use until the process is gone (see `kept`),
- a host that reaches the store answers by a new version of the configuration
  within its time limit, whatever happens to others (see `configurations`),
- hosts do what targets say in their answers (see `statements`),
- a new version of a service gets few requests before it is judged, and a
  rollout ends as the version deserves (see `rollouts`),
- requests are served again after all faults have ended.

`python -m benchmarks.soak --seed 1 --seconds 20` runs one seed, with signals
and changes that overlap in planned stops (see `stops`); `--seeds N` runs N
consecutive seeds, `--hosts N` sets the hosts in each failure domain. The seed
of a failing run is printed.
"""
