#!/usr/bin/env bash
# Real processes on loopback: founding, one configuration, a migrated stream, a killed and a
# frozen node, a killed leader, bad input, a wiped disk, a planned stop. Every wait is for a
# condition; nothing is judged by the clock.
set -u
dep=radar ports=17300
. "$(dirname "$0")/lib.sh"
metric() { curl -s "http://$(op "$1")/metrics" | sed -n "s/^duneturn_$2 //p"; }
delivering() { ctl "$1" --here --json live | grep -q '"phase": "delivering"'; }

scripts/fleet.sh start radar || fail start
until_ok 60 "a reign is founded and read back from an edge" ctl 12 config
listens() { curl -sf -m 10 "http://$(op 7)/healthz"; }
until_ok 20 "node 7 listens" listens
curl -s -o /dev/null -w '%{http_code}' "http://$(op 7)/readyz" | grep -q 503 || fail "a node without a configuration must not be ready"
outcome 7 apply examples/radar/config.json >/dev/null || fail "apply"
for i in $(seq 12); do until_ok 20 "node $i is ready" ready "$i"; done

# Orders: lost race, invalid, malformed, the same key again.
outcome 3 --base 0 apply examples/radar/config.json >/dev/null 2>&1; [ $? = 1 ] || fail "a lost race must be denied"
echo '{"mappings":[{"name":"x","path":"/x","pool":"p","colour":1}]}' >bad.json
outcome 3 apply bad.json 2>err; [ $? = 1 ] || fail "an unknown field must be denied"
grep -q "/config/mappings/0/colour" err || fail "the field must be named"
echo '{"budget":{"share":0.19}}' >patch.json
a=$(outcome 2 --base 1 --key same change patch.json) || fail "change"
b=$(outcome 10 --base 1 --key same change patch.json) || fail "the same key again"
[ "$a" = "$b" ] || fail "the same key must give the first outcome: $a / $b"
[ "$(gen 8)" = 2 ] || fail "the change must be read back elsewhere"
echo "ok: races, faults and keys"

# A stream whose server is killed goes on elsewhere, each event once. Credit for extra sends
# is earned by first sends, so the node serves some tiles before.
for i in $(seq 30); do [ "$(request "http://$(at 1)/tiles/$i")" = 200 ] || fail "tile $i: $(cat head.txt body)"; done
stream stream.txt "http://$(at 1)/v1/advisory" -d '{"prompt":"rain","tokens":300,"stream":true}' &
cpid=$!
until_ok 10 "the stream is under way" delivering 1
some() { [ "$(grep -c '^id:' stream.txt)" -ge 10 ]; }
until_ok 10 "ten events have come" some
srv=$(ctl 1 --here --json live | sed -n 's/.*"server": "\(.*\)".*/\1/p' | head -1)
[ -n "$srv" ] || fail "the stream's server is not named"
crash "$srv"
wait $cpid || fail "the stream was cut"
[ "$(grep '^id:' stream.txt | tr -dc '0-9\n' | paste -sd,)" = "$(seq 300 | paste -sd,)" ] || fail "the events are not 1..300"
grep -q '^event: done' stream.txt || fail "no completion mark"
[ "$(metric 1 migrations_ongoing_total)" = 1 ] || fail "one migration must be counted"
grep -h "run " run/radar/log/*.ran | grep -c "/v1/advisory" | grep -qx 2 || fail "the stream must have run on two servers"
echo "ok: a stream moved from $srv"
one "$srv"

# A frozen node that wakes past its lease denies before it has heard a majority again.
lost=$(metric 12 fresh_lost_total)
sig karachi-4 STOP
# Silent for longer than the lease, by another node's clock, before it is woken.
unheard() { [ "$(ctl 1 --json nodes | tr -d '\n ' | sed 's/.*"node":"karachi-4"[^}]*"ageUs":\([0-9]*\).*/\1/')" -gt 3000000 ]; }
until_ok 15 "the others see karachi-4 gone" unheard
outcome 1 empty lahore-west >/dev/null || fail "empty"
sig karachi-4 CONT
until_ok 15 "karachi-4 is ready again" ready 12
curl -s "http://$(op 12)/v1/beliefs" | grep -q 'lahore-west' || fail "karachi-4 must know of the emptied district"
[ "$(metric 12 fresh_lost_total)" -gt "${lost:-0}" ] || fail "karachi-4 must have been stale"
outcome 12 give-back lahore-west >/dev/null || fail "give-back"
echo "ok: freeze and wake"

# The leader is killed; an order is taken; it comes back and catches up.
l=$(leader 2); [ -n "$l" ] || fail "no leader"
crash "$l"
other=2; [ "$(index "$l")" = 2 ] && other=3
outcome $other --key after-kill --base 2 change patch.json >/dev/null || fail "an order must be taken without $l"
[ "$(outcome $other order after-kill | grep -c '"status": 200')" = 1 ] || fail "the order's outcome must be known"
echo "ok: an order is taken without $l"
one "$l"
until_ok 30 "$l is ready again" ready "$(index "$l")"

# A wiped disk: another identity, a voter again once it has caught up.
l=$(leader 2); l2=lahore-east-1; [ "$l" = $l2 ] && l2=lahore-west-1
disk() { old=$(ctl 2 --json nodes | tr -d '\n ' | sed -n "s/.*\"node\":\"$l2\"[^}]*\"disk\":\"\([0-9a-f]\+\)\".*/\1/p"); [ -n "$old" ]; }
until_ok 10 "the disk of $l2 is known" disk
crash "$l2"; rm -rf "run/radar/data/$l2"
one "$l2"
voter() { curl -s "http://$(op 2)/v1/word" >w.json; ! grep -q "$old" w.json && [ "$(grep -o '"seat"' w.json | wc -l)" = 3 ]; }
until_ok 40 "the wiped disk of $l2 is replaced among the voters" voter

# Bad input is answered or closed, and disturbs nobody. A frame is closed for what it is well
# before the 15 s after which a silent peer is.
[ "$(head -c 40000 /dev/zero | tr '\0' a | curl -s -o /dev/null -w '%{http_code}' -H @- http://127.0.0.1:17202/v1/classify)" != 200 ] || fail "large header"
[ "$(curl -s -o /dev/null -w '%{http_code}' -H "X-Long: $(head -c 30000 /dev/zero | tr '\0' a)" http://127.0.0.1:17202/v1/classify)" = 431 ] || fail "431"
[ "$(head -c 9000000 /dev/zero | curl -s -o /dev/null -w '%{http_code}' --data-binary @- -H 'Expect:' http://127.0.0.1:17202/v1/classify)" = 413 ] || fail "413"
[ "$(printf 'garbage\r\n\r\n' | timeout 12 bash -c 'exec 3<>/dev/tcp/127.0.0.1/17202; cat >&3; head -1 <&3' | grep -c 400)" = 1 ] || fail "garbage"
timeout 12 bash -c 'exec 3<>/dev/tcp/127.0.0.1/17102; printf "\x7f\xff\xff\xff\x00\x01garbage" >&3; head -c 10 <&3 | wc -c' | grep -qx 0 || fail "a huge frame must be closed"
timeout 12 bash -c 'exec 3<>/dev/tcp/127.0.0.1/17102; head -c 100000 /dev/urandom >&3; head -c 10 <&3 | wc -c' | grep -qx 0 || fail "random frames must be closed"
ready 2 >/dev/null || fail "node 2 after bad input"
echo "ok: bad input"

# Two nodes agree, and the senders' own judgement is good.
agree() { "$bin" compare "$(op 3)" "$(op 11)"; }
until_ok 20 "two nodes believe the same" agree
"$bin" fake-sender --day examples/radar/day.json --nodes 127.0.0.1:17202,127.0.0.1:17206,127.0.0.1:17210 --duration_us 4000000 --scale 0.5 --report report.json || { cat report.json; fail "the senders found a rule broken"; }

# A planned stop lets the stream in flight finish.
stream drain.txt "http://$(at 3)/v1/advisory" -d '{"prompt":"wind","tokens":150,"stream":true}' &
cpid=$!
until_ok 10 "a stream on node 3 is under way" delivering 3
sig lahore-east-3 TERM
wait $cpid || fail "the drain cut a stream"
grep -q '^event: done' drain.txt || fail "the drained stream is not whole"
until_ok 20 "the stopped node is gone" gone lahore-east-3

# Keys of tenants: on one connection each request is judged by itself, and no key is logged or shown.
echo '{"tenants":{"district":{"keys":["key-of-the-district"]}}}' >tenants.json
outcome 2 change tenants.json >/dev/null || fail "tenants"
refused() { [ "$(curl -s -m 10 -o /dev/null -w '%{http_code}' "http://$(at 1)/tiles/1")" = 401 ]; }
until_ok 20 "a request without a key is refused" refused
one_connection() { # KEY…; "STATUS/NEW CONNECTIONS" of a request with each
  local key arguments=()
  for key in "$@"; do
    arguments+=(--next -s -m 10 -o /dev/null -w '%{http_code}/%{num_connects} ' -H "X-Api-Key: $key" "http://$(at 1)/tiles/1")
  done
  curl "${arguments[@]:1}"
}
answered() { [ "$(one_connection key-of-the-district key-of-nobody key-of-the-district)" = '200/1 401/0 200/0 ' ]; }
until_ok 20 "one connection, a key that is known, one that is not, and the first again" answered
{ curl -s "http://$(op 1)/metrics"; ctl 1 --here --json live; ctl 1 --here --json status; cat run/radar/log/*; } >shown.txt
! grep -q 'key-of-' shown.txt || fail "a key is shown: $(grep -m 1 'key-of-' shown.txt)"
stop
echo "all ok"
