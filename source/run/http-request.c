/*
 * http-request: path, query and headers of a request to the HTTP server.
 */
#include "http-impl.h"

#include <string.h>
#include <strings.h>

struct mw_str
mw_find_http_header(const struct mw_http_connection *connection,
                    const char *name)
{
    size_t len = strlen(name);

    for (uint32_t i = 0; i < connection->header_count; i++) {
        const struct mw_http_header_field *header = &connection->headers[i];

        if (header->name_len == len &&
            strncasecmp(connection->text->str + header->name, name, len) ==
                0) {
            return (struct mw_str){connection->text->str + header->value,
                                   header->value_len};
        }
    }
    return MW_STR("");
}

struct mw_str
mw_http_header(const struct mw_http_request *request, const char *name)
{
    return mw_find_http_header(request->message, name);
}

struct mw_str
mw_http_query_param(const struct mw_http_request *request, struct mw_str key)
{
    struct mw_str rest = request->query;

    while (rest.len > 0) {
        const char *end = memchr(rest.ptr, '&', rest.len);
        size_t len = end ? (size_t)(end - rest.ptr) : rest.len;

        if (len > key.len && rest.ptr[key.len] == '=' &&
            memcmp(rest.ptr, key.ptr, key.len) == 0) {
            return (struct mw_str){rest.ptr + key.len + 1, len - key.len - 1};
        }
        rest.ptr += end ? len + 1 : len;
        rest.len -= end ? len + 1 : len;
    }
    return MW_STR("");
}

bool
mw_split_http_url(const struct mw_http_connection *connection, char **path,
                  struct mw_http_request *request)
{
    struct http_parser_url url;
    const char *text = connection->text->str;

    http_parser_url_init(&url);
    if (http_parser_parse_url(text, connection->url_len, 0, &url) != 0) {
        return false;
    }
    *path = g_uri_unescape_segment(text + url.field_data[UF_PATH].off,
                                   text + url.field_data[UF_PATH].off +
                                       url.field_data[UF_PATH].len,
                                   NULL);
    if (!*path) {
        return false;
    }
    request->path = mw_str_from(*path);
    if (url.field_set & (1 << UF_QUERY)) {
        request->query = (struct mw_str){text + url.field_data[UF_QUERY].off,
                                         url.field_data[UF_QUERY].len};
    }
    return true;
}
