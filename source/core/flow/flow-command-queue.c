/*
 * flow-command-queue: commands that wait until they may be sent.
 */
#include "flow-command-queue.h"

#define WINDOW_INITIAL 64
#define WINDOW_MIN 16
#define WINDOW_MAX 1024
#define PACE_PERCENT_MIN 5
#define PACE_PERCENT_STEP 5
#define INTERVAL_US INT64_C(100000)
/* without enough responses for so long, they no longer count as slow */
#define SLOW_TIMEOUT_US INT64_C(500000)
/* fewer response times say little about this process */
#define INTERVAL_RESPONSES_MIN 8
/* endpoints respond within a few milliseconds */
#define RESPONSE_TIME_TARGET_US INT64_C(60000)

void
mw_init_command_queue(struct mw_command_queue *queue)
{
    for (int i = 0; i < MW_COMMAND_CLASSES; i++) {
        g_queue_init(&queue->waiting[i]);
    }
    queue->in_flight = 0;
    queue->window = WINDOW_INITIAL;
    queue->pace_percent = 100;
    queue->interval_deadline_us = 0;
    queue->response_count = 0;
    queue->shortest_us = INT64_MAX;
    queue->is_limited = false;
    queue->is_slow = false;
}

void
mw_clear_command_queue(struct mw_command_queue *queue)
{
    for (int i = 0; i < MW_COMMAND_CLASSES; i++) {
        g_queue_clear(&queue->waiting[i]);
    }
    mw_init_command_queue(queue);
}

void
mw_push_command(struct mw_command_queue *queue, enum mw_command_class kind,
                struct mw_flow_pending_command *pending)
{
    g_queue_push_tail(&queue->waiting[kind], pending);
}

struct mw_flow_pending_command *
mw_pop_command(struct mw_command_queue *queue)
{
    for (int i = 0; i < MW_COMMAND_CLASSES; i++) {
        if (queue->waiting[i].length == 0) {
            continue;
        }
        if (queue->in_flight >= queue->window) {
            queue->is_limited = true;
            return NULL;
        }
        return g_queue_pop_head(&queue->waiting[i]);
    }
    return NULL;
}

struct mw_flow_pending_command *
mw_peek_command(const struct mw_command_queue *queue,
                enum mw_command_class kind)
{
    return queue->waiting[kind].length > 0 ? queue->waiting[kind].head->data
                                           : NULL;
}

void
mw_command_sent(struct mw_command_queue *queue)
{
    queue->in_flight++;
}

static void
end_interval(struct mw_command_queue *queue, int64_t now_us)
{
    queue->is_slow = queue->shortest_us > RESPONSE_TIME_TARGET_US;
    if (queue->is_slow) {
        queue->window = MAX(queue->window * 3 / 4, WINDOW_MIN);
        queue->pace_percent = MAX(queue->pace_percent / 2, PACE_PERCENT_MIN);
    }
    else {
        queue->pace_percent =
            MIN(queue->pace_percent + PACE_PERCENT_STEP, 100);
    }
    if (!queue->is_slow && queue->is_limited) {
        queue->window = MIN(queue->window * 5 / 4, WINDOW_MAX);
    }
    queue->interval_deadline_us = now_us + INTERVAL_US;
    queue->response_count = 0;
    queue->shortest_us = INT64_MAX;
    queue->is_limited = false;
}

void
mw_update_command_queue(struct mw_command_queue *queue, int64_t now_us)
{
    if (queue->is_slow &&
        now_us >= queue->interval_deadline_us + SLOW_TIMEOUT_US) {
        queue->is_slow = false;
    }
}

void
mw_command_responded(struct mw_command_queue *queue, int64_t now_us,
                     bool counts, int64_t response_time_us)
{
    if (counts && queue->in_flight > 0) {
        queue->in_flight--;
    }
    if (response_time_us >= 0) {
        queue->shortest_us = MIN(queue->shortest_us, response_time_us);
        queue->response_count++;
    }
    if (now_us >= queue->interval_deadline_us &&
        queue->response_count >= INTERVAL_RESPONSES_MIN) {
        end_interval(queue, now_us);
    }
}

uint32_t
mw_count_waiting_commands(const struct mw_command_queue *queue)
{
    uint32_t count = 0;

    for (int i = 0; i < MW_COMMAND_CLASSES; i++) {
        count += queue->waiting[i].length;
    }
    return count;
}

bool
mw_command_queue_is_late(const struct mw_command_queue *queue)
{
    return queue->is_slow || mw_count_waiting_commands(queue) > 0;
}

bool
mw_may_place_starts(const struct mw_command_queue *queue, uint32_t proposed)
{
    return mw_count_waiting_commands(queue) + proposed < queue->window;
}

uint32_t
mw_command_pace(const struct mw_command_queue *queue, uint32_t count)
{
    return MAX(count * queue->pace_percent / 100, 1);
}
