/*
 * fuzz: feeds arbitrary bytes to the decoders; the first byte selects one.
 */
#include <glib.h>

#include "mimosawind.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct mw_context ctx = {0};
    struct mw_str text = {(const char *)data + 1, size - 1};
    struct mw_stored_item item;
    struct mw_announcement announce;
    struct mw_job_spec spec;
    struct mw_change change;
    struct mw_blob *body = NULL;
    int err = 0;

    if (size < 2) {
        return 0;
    }
    switch (data[0] % 6) {
    case 0:
        mw_drop_msg(mw_decode_msg(&ctx, text, 1000, NULL, &err));
        break;
    case 1:
        mw_drop_document(mw_parse_document(&ctx, text, &err));
        break;
    case 2:
        if (mw_decode_stored(&ctx, text, &item) == 0) {
            mw_clear_stored(&item);
        }
        break;
    case 3:
        mw_parse_job(&ctx, text, 0, &spec, &body);
        mw_drop_blob(body);
        break;
    case 4:
        if (mw_parse_announce(&ctx, text, &announce) == 0) {
            g_free(announce.listed);
        }
        break;
    default:
        mw_parse_change(&ctx, text, &change);
        mw_drop_document(change.document);
        break;
    }
    return 0;
}
