/*
 * check-main: every script against the output beside it, under check.
 *
 * A script named in KNOWN-RED.txt is run and printed and does not fail the
 * run.  MW_UPDATE=1 writes the output instead of comparing it; the change
 * is then read in the diff.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "script.h"

struct test {
    const struct mw_script_kind *kind;
    char *name;
};

static GArray *tests;
static char *known_red;

static char *
path_of(const struct test *test, const char *suffix)
{
    return g_strdup_printf("tests/scripts/%s/%s%s", test->kind->folder,
                           test->name, suffix);
}

static bool
is_known_red(const char *path)
{
    return known_red && strstr(known_red, path) != NULL;
}

static void
compare(const char *path, const char *wanted, const char *got)
{
    if (strcmp(wanted, got) == 0) {
        return;
    }
    if (is_known_red(path)) {
        printf("known red: %s\n", path);
        return;
    }
    ck_abort_msg("%s\n--- wanted\n%s--- got\n%s", path, wanted, got);
}

START_TEST(run_one)
{
    const struct test *test = &g_array_index(tests, struct test, _i);
    char *script = path_of(test, ".txt");
    char *expected = path_of(test, ".out");
    char *text = NULL;
    char *wanted = NULL;

    ck_assert_msg(g_file_get_contents(script, &text, NULL, NULL), "%s",
                  script);
    char *got = mw_run_script(test->kind, text);

    if (g_getenv("MW_UPDATE")) {
        g_file_set_contents(expected, got, -1, NULL);
    }
    ck_assert_msg(g_file_get_contents(expected, &wanted, NULL, NULL), "%s",
                  expected);
    compare(script, wanted, got);
    g_free(script);
    g_free(expected);
    g_free(text);
    g_free(wanted);
    g_free(got);
}
END_TEST

static int
by_name(const void *a, const void *b)
{
    return strcmp(((const struct test *)a)->name,
                  ((const struct test *)b)->name);
}

static void
find_tests(const struct mw_script_kind *kind, const char *only)
{
    char *folder = g_strdup_printf("tests/scripts/%s", kind->folder);
    GDir *dir = g_dir_open(folder, 0, NULL);
    const char *name;
    GArray *found = g_array_new(FALSE, FALSE, sizeof(struct test));

    while (dir && (name = g_dir_read_name(dir))) {
        bool wanted = !only || strstr(name, only) || strstr(folder, only);

        if (g_str_has_suffix(name, ".txt") && wanted) {
            struct test test = {kind, g_strndup(name, strlen(name) - 4)};

            g_array_append_val(found, test);
        }
    }
    g_array_sort(found, by_name);
    g_array_append_vals(tests, found->data, found->len);
    g_array_unref(found);
    if (dir) {
        g_dir_close(dir);
    }
    g_free(folder);
}

int
main(int argc, char **argv)
{
    static const struct mw_script_kind *const kinds[] = {
        &mw_input_scripts, &mw_log_scripts,   &mw_zone_scripts,
        &mw_world_scripts, &mw_flow_scripts,  &mw_platform_scripts,
        &mw_story_scripts, &mw_region_scripts};
    Suite *suite = suite_create("mimosawind");
    SRunner *runner;
    int failed;

    tests = g_array_new(FALSE, FALSE, sizeof(struct test));
    g_file_get_contents("KNOWN-RED.txt", &known_red, NULL, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        TCase *tcase = tcase_create(kinds[i]->folder);
        guint from = tests->len;

        find_tests(kinds[i], argc > 1 ? argv[1] : NULL);
        tcase_set_timeout(tcase, 0);
        tcase_add_loop_test(tcase, run_one, (int)from, (int)tests->len);
        suite_add_tcase(suite, tcase);
    }
    runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
