/*
 * run-soak FIRST COUNT SECONDS [SLOT]: so many seeds, each with so long of
 * trouble; runs beside each other have slots of their own.
 *
 * EXIT STATUS  0 where no promise was seen broken, 1 otherwise
 */
#include <stdio.h>
#include <stdlib.h>

#include "soak.h"

#define FOLDER "build/soak"
#define START_US 4000000
#define ASK_US 60000
/* calm in which all that was accepted must end */
#define SETTLE_US 60000000

static void
run_until(int64_t until_us)
{
    while (soak_now() < until_us) {
        g_main_context_iteration(NULL, FALSE);
        g_usleep(1000);
    }
}

static void
trouble_endpoint(struct soak_endpoints *endpoints, GRand *rand)
{
    int index = g_rand_int_range(rand, 0, SOAK_ENDPOINTS);

    switch (g_rand_int_range(rand, 0, 4)) {
    case 0:
        soak_restart_endpoint(endpoints, index);
        break;
    case 1:
        soak_drain_endpoint(endpoints, index);
        break;
    case 2:
        soak_reset_endpoint(endpoints, index);
        break;
    default:
        soak_set_endpoint_path(
            endpoints, index,
            (enum soak_path)g_rand_int_range(rand, 0, SOAK_PATHS));
        break;
    }
}

static void
make_trouble(struct soak_processes *processes,
             struct soak_endpoints *endpoints, struct soak_callers *callers,
             GRand *rand, int64_t for_us)
{
    int64_t until_us = soak_now() + for_us;
    int64_t next_us = soak_now();

    while (soak_now() < until_us) {
        run_until(soak_now() + ASK_US);
        soak_ask(callers);
        if (soak_now() < next_us) {
            continue;
        }
        next_us = soak_now() + g_rand_int_range(rand, 100, 1500) * 1000;
        if (g_rand_int_range(rand, 0, 3) == 0) {
            trouble_endpoint(endpoints, rand);
        }
        else {
            soak_trouble(processes, rand);
        }
        if (g_rand_int_range(rand, 0, 12) == 0) {
            /* calm, so that a disk may be lost again */
            next_us = soak_now() + 7000000;
            soak_heal(processes);
        }
    }
}

static void
settle(struct soak_processes *processes, struct soak_endpoints *endpoints,
       struct soak_callers *callers)
{
    int64_t until_us = soak_now() + SETTLE_US;

    soak_heal(processes);
    for (int i = 0; i < SOAK_ENDPOINTS; i++) {
        soak_set_endpoint_path(endpoints, i, SOAK_PASS);
        soak_reset_endpoint(endpoints, i);
    }
    while (!soak_settled(callers) && soak_now() < until_us) {
        run_until(soak_now() + ASK_US);
    }
    soak_check_told(callers);
}

static bool
run_seed(uint32_t seed, int64_t for_us)
{
    GString *fault = g_string_new(NULL);
    GRand *rand = g_rand_new_with_seed(seed);
    char *folder = g_strdup_printf("%s/%u", FOLDER, seed);
    struct soak_endpoints *endpoints = soak_new_endpoints(fault);
    struct soak_processes *processes = soak_new_processes(folder, fault);
    struct soak_callers *callers = soak_new_callers(seed, fault);
    unsigned accepted;
    unsigned refused;
    unsigned versions;
    bool holds;

    soak_on_acknowledged(callers, processes, soak_after_acknowledgement);
    run_until(soak_now() + START_US);
    make_trouble(processes, endpoints, callers, rand, for_us);
    settle(processes, endpoints, callers);
    soak_count_told(callers, &accepted, &refused, &versions);
    soak_drop_callers(callers);
    soak_drop_processes(processes);
    soak_drop_endpoints(endpoints);
    holds = fault->len == 0;
    printf("seed %u: %u accepted, %u refused, version %u: %.600s%s%s\n", seed,
           accepted, refused, versions, holds ? "holds" : fault->str,
           holds ? "" : " logs in ", holds ? "" : folder);
    fflush(stdout);
    g_free(folder);
    g_rand_free(rand);
    g_string_free(fault, TRUE);
    return holds;
}

int
main(int argc, char **argv)
{
    int first = argc > 1 ? atoi(argv[1]) : 1;
    int count = argc > 2 ? atoi(argv[2]) : 1;
    int seconds = argc > 3 ? atoi(argv[3]) : 20;
    int held = 0;

    soak_use_slot(argc > 4 ? atoi(argv[4]) : 0);
    for (int seed = first; seed < first + count; seed++) {
        held += run_seed((uint32_t)seed, seconds * INT64_C(1000000));
    }
    printf("soak: %d seeds, %d with faults\n", count, count - held);
    return held == count ? EXIT_SUCCESS : EXIT_FAILURE;
}
