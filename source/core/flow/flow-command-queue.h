#ifndef MW_CORE_FLOW_COMMAND_QUEUE_H
#define MW_CORE_FLOW_COMMAND_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * flow-command-queue: commands that wait until they may be sent.
 *
 * LOAD     A burst of starts, or a leader that is short of processor time.
 *          Commands that are all sent at once wait behind each other for the
 *          processor; they arrive late, leases lapse meanwhile, and the runs
 *          that are lost are started again by more commands.
 *
 * WINDOW   Only so many commands may be without a response at a time.  The
 *          window shrinks while even the fastest response of an interval has
 *          taken too long, and grows while it is the limit.
 *
 * ORDER    Stops first, then starts of urgent work, then other starts, each
 *          in the order of arrival.  Renewals of leases are not queued.
 *
 * Decides only; flow-command.c sends.
 */

/* mw_command_class: of commands that wait; the lower is sent first. */
enum mw_command_class {
    MW_CLASS_STOP = 0,
    MW_CLASS_URGENT_START = 1,
    MW_CLASS_START = 2,
    MW_COMMAND_CLASSES = 3
};

struct mw_flow_pending_command;

/* mw_command_queue: embedded in struct mw_flows. */
struct mw_command_queue {
    /* struct mw_flow_pending_command, owned by flows->pending_commands */
    GQueue waiting[MW_COMMAND_CLASSES];
    /* sent and without a response, of those that count */
    uint32_t in_flight;
    uint32_t window;
    uint32_t pace_percent;
    /* the interval over which response times are observed */
    int64_t interval_deadline_us;
    /* response times of the interval: how many, and the shortest */
    uint32_t response_count;
    int64_t shortest_us;
    /* a command had to wait in this interval */
    bool is_limited;
    /* even the fastest response of the last interval took too long */
    bool is_slow;
};

void mw_init_command_queue(struct mw_command_queue *queue);
/* mw_clear_command_queue: forget all commands, waiting or sent. */
void mw_clear_command_queue(struct mw_command_queue *queue);

void mw_push_command(struct mw_command_queue *queue,
                     enum mw_command_class kind,
                     struct mw_flow_pending_command *pending);

/*
 * mw_pop_command: the command to be sent next.
 *
 * Returns NULL if none waits, or if the window is full.
 */
struct mw_flow_pending_command *mw_pop_command(struct mw_command_queue *queue);

/* mw_peek_command: the next command of a class; NULL for none. */
struct mw_flow_pending_command *
mw_peek_command(const struct mw_command_queue *queue,
                enum mw_command_class kind);

/* mw_command_sent: a command that counts was sent. */
void mw_command_sent(struct mw_command_queue *queue);

/*
 * mw_command_responded: a command was responded to, or given up.
 *
 * counts: it was counted by mw_command_sent.  response_time_us is negative if
 * there was no response, or if the time says nothing about this process.
 */
void mw_command_responded(struct mw_command_queue *queue, int64_t now_us,
                          bool counts, int64_t response_time_us);

/* mw_update_command_queue: to be called at least in each scheduling pass. */
void mw_update_command_queue(struct mw_command_queue *queue, int64_t now_us);

/*
 * mw_command_queue_is_late: whether commands wait, or responses take long.
 *
 * What can be put off is then left for later.
 */
bool mw_command_queue_is_late(const struct mw_command_queue *queue);

/*
 * mw_may_place_starts: whether the starts of one more group of tasks would be
 * sent soon.  proposed is the number of starts that will arrive before them.
 */
bool mw_may_place_starts(const struct mw_command_queue *queue,
                         uint32_t proposed);

/*
 * mw_command_pace: the part of a number of commands that may be sent now.
 *
 * For commands that are not queued.  The part falls while responses take
 * long, and rises otherwise; it is never 0.
 */
uint32_t mw_command_pace(const struct mw_command_queue *queue, uint32_t count);

/* mw_count_waiting_commands: number of commands of all classes that wait. */
uint32_t mw_count_waiting_commands(const struct mw_command_queue *queue);

#endif
