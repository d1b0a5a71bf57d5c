/*
 * address: loopback addresses, a network of its own for each run.
 */
#include "soak.h"

#define NETWORK_FIRST 40

static int network = NETWORK_FIRST;

void
soak_use_slot(int slot)
{
    network = NETWORK_FIRST + 2 * slot;
}

const char *
soak_ip(int host, bool front)
{
    static char texts[8][24];
    static unsigned next;
    char *text = texts[next++ % G_N_ELEMENTS(texts)];

    g_snprintf(text, sizeof texts[0], "127.0.%d.%d", network + front, host);
    return text;
}
