#ifndef MW_TESTS_SOAK_H
#define MW_TESTS_SOAK_H

#include <gio/gio.h>

#include "http.h"
#include "region-endpoint.h"

/*
 * soak: the real programs under faults from outside, and what callers,
 * operators and endpoints see of them.
 *
 * One process plays all of the platform: endpoints over HTTP, callers,
 * operators, proxies in front of the entry processes and of the endpoints.
 * Faults are drawn from a seed; their moments follow the clock, so that a
 * seed repeats what is done and not exactly when.
 */

#define SOAK_CORES 3
#define SOAK_ENTRIES 2
#define SOAK_ENDPOINTS 6
#define SOAK_CONTROL_PORT 18526
#define SOAK_FRONTEND_PORT 18521
#define SOAK_READINESS_PORT 18523
#define SOAK_LINK_PORT 17000
#define SOAK_ENDPOINT_PORT 18080

/* soak_use_slot: runs beside others have addresses of their own. */
void soak_use_slot(int slot);
/* soak_ip: the address of a process or endpoint; front: of its proxy. */
const char *soak_ip(int host, bool front);

/* how a proxy treats its connections */
enum soak_path {
    SOAK_PASS = 0,
    SOAK_DELAY = 1,
    /* open connections go silent for good, new ones too while it lasts */
    SOAK_SILENT = 2,
    /* what comes back is lost */
    SOAK_ONE_WAY = 3,
    SOAK_PATHS = 4
};

struct soak_proxy;

struct soak_proxy *soak_new_proxy(const char *listen_ip, const char *to_ip,
                                  uint16_t port);
void soak_drop_proxy(struct soak_proxy *proxy);
void soak_set_path(struct soak_proxy *proxy, enum soak_path path);
/* soak_reset: all open connections are closed with a reset. */
void soak_reset(struct soak_proxy *proxy);

/* soak_endpoints: fakes behind HTTP, which report by heartbeats. */
struct soak_endpoints;

struct soak_endpoints *soak_new_endpoints(GString *fault);
void soak_drop_endpoints(struct soak_endpoints *endpoints);
/* soak_restart_endpoint: a new life; what ran there is gone. */
void soak_restart_endpoint(struct soak_endpoints *endpoints, int index);
/* soak_drain_endpoint: says that it drains, and starts anew later. */
void soak_drain_endpoint(struct soak_endpoints *endpoints, int index);
void soak_set_endpoint_path(struct soak_endpoints *endpoints, int index,
                            enum soak_path path);
void soak_reset_endpoint(struct soak_endpoints *endpoints, int index);

/* soak_callers: callers and operators, and what they were told. */
struct soak_callers;

struct soak_callers *soak_new_callers(uint32_t seed, GString *fault);
/* soak_on_acknowledged: called at once when a version is acknowledged. */
void soak_on_acknowledged(struct soak_callers *callers, void *opaque,
                          void (*acknowledged)(void *opaque));
void soak_drop_callers(struct soak_callers *callers);
/* soak_ask: one more request of some kind. */
void soak_ask(struct soak_callers *callers);
/* soak_settled: asks for all; true once every accepted flow has ended. */
bool soak_settled(struct soak_callers *callers);
/* soak_check_told: no refusal was untrue, nothing acknowledged is gone. */
void soak_check_told(struct soak_callers *callers);
void soak_count_told(const struct soak_callers *callers, unsigned *accepted,
                     unsigned *refused, unsigned *versions);

/* soak_processes: the programs, started, stopped and killed by their ids. */
struct soak_processes;

struct soak_processes *soak_new_processes(const char *folder, GString *fault);
/* soak_drop_processes: a planned stop of all; faults where one fails. */
void soak_drop_processes(struct soak_processes *processes);
/* soak_trouble: one fault, drawn from rand. */
void soak_trouble(struct soak_processes *processes, GRand *rand);
/* soak_after_acknowledgement: kills all core processes where one is due. */
void soak_after_acknowledgement(void *processes);
/* soak_heal: all run and are awake. */
void soak_heal(struct soak_processes *processes);

static inline int64_t
soak_now(void)
{
    return g_get_monotonic_time();
}

#endif
