/*
 * address: loopback addresses, a separate network for each concurrent run.
 */
#include "soak.h"

#define FIRST_NETWORK 40

static int network = FIRST_NETWORK;

void
soak_use_network(int index)
{
    network = FIRST_NETWORK + 2 * index;
}

const char *
soak_ip(int host, bool proxy)
{
    static char texts[8][24];
    static unsigned next;
    char *text = texts[next++ % G_N_ELEMENTS(texts)];

    g_snprintf(text, sizeof texts[0], "127.0.%d.%d", network + proxy, host);
    return text;
}
