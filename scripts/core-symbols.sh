#!/usr/bin/env bash
# core-symbols.sh OBJECT...: fail if an object file of the core refers to
# input, output, a clock, threads, libsoup, GIO, protobuf-c or another layer of
# the project.
forbidden='^(socket|connect|bind|listen|accept|open|openat|read|write|close|fsync'
forbidden="$forbidden|fopen|fclose|fread|fwrite|fprintf|printf|puts|time|clock_gettime"
forbidden="$forbidden|gettimeofday|nanosleep|usleep|sleep|pthread_.*|getenv|rand|random"
forbidden="$forbidden|g_get_(monotonic|real)_time|g_thread_.*|g_mutex_.*|g_file_.*"
forbidden="$forbidden|g_print.*|g_log.*|g_main_.*|g_source_.*|g_random_.*|g_rand_new"
forbidden="$forbidden|g_socket.*|g_input.*|g_output.*|soup_.*|protobuf_c_.*|mw__wire.*"
forbidden="$forbidden|json_.*)\$"
status=0
for object in "$@"; do
    matches=$(nm -u "$object" | awk '{print $2}' | sed 's/@.*//' | grep -E "$forbidden")
    if [ -n "$matches" ]; then
        echo "$object refers to: $matches"
        status=1
    fi
done
exit $status
