#!/bin/bash
# compare_recordings.sh OLD NEW: compares two folders of recordings byte for byte, but for the text of log lines,
# whose number is compared. Each folder holds scenarios/ and streams/. Exit code 1 where anything differs.
set -u
log_line='^[0-9]* asks log line='
equal=0
different=0
for old in "$1"/scenarios/*.recording "$1"/streams/*.recording; do
    new="$2/$(basename "$(dirname "$old")")/$(basename "$old")"
    if [ -f "$new" ] &&
        cmp -s <(grep -v "$log_line" "$old") <(grep -v "$log_line" "$new") &&
        [ "$(grep -c "$log_line" "$old")" = "$(grep -c "$log_line" "$new")" ]; then
        equal=$((equal + 1))
    else
        different=$((different + 1))
        echo "differs: $old"
    fi
done
echo "$equal equal, $different differ"
[ "$different" = 0 ] && [ "$equal" -gt 0 ]
