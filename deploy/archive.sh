#!/bin/sh
# Archives the classes that a sender loads, so that a restart takes less than half the time on one core.
# For that it runs a sender for a moment, with itself as its discovery service. Without the archive a sender
# starts all the same, only later: so a failure here does not fail the build.
cd "$(dirname "$0")/.." || exit 0
state=target/training
rm -rf "$state" target/sender.jsa
mkdir -p "$state"
GW_CONFIG=deploy/training.json GW_STATE=$state GW_NAME=training GW_LISTEN=127.0.0.1:47979 \
    GW_DISCOVERY=127.0.0.1:47979 java @deploy/java.options -Xlog:disable -XX:ArchiveClassesAtExit=target/sender.jsa \
    -jar target/kestreldeal.jar serve >"$state/log" 2>&1 &
sender=$!
tries=0
until grep -q "listens at\|can't start" "$state/log" || [ $tries -ge 100 ]; do
    tries=$((tries + 1))
    sleep 0.1
done
sleep 0.5
kill -TERM $sender 2>/dev/null
wait $sender
exit 0
