#!/usr/bin/env bash
# plots.sh BENCH-OUTPUT FOLDER: plot each measure of each deployment against
# the load, as one SVG file each; check_p99_s has a logarithmic scale.
set -eu
mkdir -p "$2"
for deployment in corrib inzu; do
    for measure in check_p99_s completion_mean_s fragmentation; do
        awk -v d="$deployment" -v m="$measure" '
        function y(v) { if (m == "check_p99_s") v = log(v + 1); return 260 - 220 * v / top }
        function x(l) { return 60 + (l - 0.5) / 0.7 * 400 }
        $1 == d && $3 == m {
            n++; load[n] = $2; policy[n] = $4; value[n] = $5
            v = m == "check_p99_s" ? log($5 + 1) : $5
            if (v > top) top = v
        }
        END {
            print "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"520\" height=\"320\" font-family=\"sans-serif\" font-size=\"12\">"
            print "<rect width=\"520\" height=\"320\" fill=\"white\"/>"
            printf "<text x=\"60\" y=\"20\">%s: %s over load</text>\n", d, m
            print "<path d=\"M60 30V260H470\" fill=\"none\" stroke=\"black\"/>"
            colour["first-fit"] = "#b03030"; colour["first-fit-backfill"] = "#3060b0"; colour["mimosawind"] = "#208040"
            for (i = 1; i <= n; i++) {
                p = policy[i]
                line[p] = line[p] sprintf("%s%.1f %.1f", line[p] == "" ? "M" : "L", x(load[i]), y(value[i]))
                printf "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\" fill=\"%s\"><title>%s %s</title></circle>\n", x(load[i]), y(value[i]), colour[p], p, value[i]
                tick[load[i]] = 1
            }
            for (l in tick) printf "<text x=\"%.1f\" y=\"276\" text-anchor=\"middle\">%s</text>\n", x(l), l
            k = 0
            for (p in line) {
                printf "<path d=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"2\"/>\n", line[p], colour[p]
                printf "<text x=\"%d\" y=\"305\" fill=\"%s\">%s</text>\n", 60 + 150 * k++, colour[p], p
            }
            top_value = m == "check_p99_s" ? exp(top) - 1 : top
            printf "<text x=\"55\" y=\"44\" text-anchor=\"end\">%.3g</text>\n", top_value
            print "<text x=\"55\" y=\"260\" text-anchor=\"end\">0</text></svg>"
        }' "$1" >"$2/$deployment-$measure.svg"
    done
done
