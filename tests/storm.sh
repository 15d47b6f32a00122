#!/usr/bin/env bash
# Real processes under the worst of the brief, at Kühlwacht: two operators racing, a booked
# plan across its leader's death, a stream picked up at another node, half-open senders, a
# zone and then all twelve nodes killed at once, two disks of three lost with everything, and
# the last resort. Every wait is for a condition; nothing is judged by the clock.
set -u
dep=kuehlwacht ports=18300
. "$(dirname "$0")/lib.sh"
nodes=(muenchen-{1,2,3,4} nuernberg-{1,2,3,4} frankfurt-{1,2,3,4})
all_ready() { for i in $(seq 12); do ready "$i" || return 1; done; }
beat() { [ "$(request "http://$(at "$1")/heartbeat" -d '{"probe":1}')" = 200 ]; }
beat_now() { [ "$(curl -s -m 10 -o /dev/null -w '%{http_code}' "http://$(at "$1")/heartbeat" -d '{"probe":1}')" = 200 ]; }

scripts/fleet.sh start kuehlwacht || fail start
scripts/fleet.sh apply kuehlwacht >/dev/null || fail apply
until_ok 30 "all nodes are ready" all_ready

# Two operators at two nodes, on the same generation at the same moment: one wins each time.
echo '{"budget":{"share":0.19}}' >a.json; echo '{"budget":{"share":0.18}}' >b.json
for i in $(seq 8); do
  g=$(gen 5)
  outcome 2 --base "$g" change a.json >ra 2>&1 & p=$!
  outcome 11 --base "$g" change b.json >rb 2>&1; b=$?
  wait $p; a=$?
  [ $((a + b)) = 1 ] || { cat ra rb; fail "race $i: exits $a and $b, wants one 0 and one 1"; }
  n=$(gen 8); [ "$n" = $((g + 1)) ] || fail "race $i: generation $n after $g"
  want=0.19; [ $a = 1 ] && want=0.18
  outcome 3 --json config | grep -q "\"share\": $want" || fail "race $i: the loser's is in force"
done
echo "ok: 8 races, one winner each"

# A stream whose own node is killed is picked up at another, each event once. Credit first.
for n in 1 6; do for i in $(seq 40); do beat $n || fail "heartbeat"; done; done
stream s1.txt "http://$(at 6)/v1/chat" -d '{"prompt":"cold","tokens":200,"stream":true}' &
cpid=$!
some() { [ "$(grep -c '^id:' s1.txt)" -ge 10 ]; }
until_ok 10 "ten events have come" some
crash nuernberg-2
wait $cpid && fail "a stream without its node must be seen to be cut"
w=$(sed -n 's/^X-Weights: \(.*\)\r/\1/p' s1.txt.head)
# Only whole events are kept of what came.
awk 'BEGIN{RS="\n\n"; ORS="\n\n"} /^id: [0-9]+\ndata: .*}$/' s1.txt >s2.txt; last=$(grep '^id:' s2.txt | tail -1 | tr -dc 0-9)
[ "$(request -H "Last-Event-Id: $last" "http://$(at 1)/v1/chat" -d '{"prompt":"cold","tokens":200,"stream":true}')" = 409 ] || fail "without its weights a stream must not be resumed: $(cat body)"
[ "$(request -H "Last-Event-Id: $last" -H "X-Weights: $w" "http://$(at 1)/v1/dock" -d '{"prompt":"cold","tokens":12,"stream":true}')" = 409 ] || fail "a stream that is not Resumable must be denied"
stream s3.txt -H "Last-Event-Id: $last" -H "X-Weights: $w" "http://$(at 1)/v1/chat" -d '{"prompt":"cold","tokens":200,"stream":true}' || fail "resume"
cat s3.txt >>s2.txt
[ "$(grep '^id:' s2.txt | tr -dc '0-9\n' | paste -sd,)" = "$(seq 200 | paste -sd,)" ] || fail "events $(grep '^id:' s2.txt | tr -dc '0-9\n' | paste -sd,)"
grep -q '^event: done' s2.txt || fail "the resumed stream is not whole"
one nuernberg-2
echo "ok: a stream went on at another node after event $last"

# Any node explains an exchange of any other.
[ "$(request "http://$(at 1)/v1/summary" -d '{"prompt":"p","tokens":2}')" = 200 ] || fail "summary: $(cat head.txt body)"
x=$(sed -n 's/^X-Exchange-Id: \(.*\)\r/\1/p' head.txt)
outcome 12 explain "$x" >exp.txt || fail "explain $x"
grep -q "picked" exp.txt || fail "no pick in the explanation: $(cat exp.txt)"

# Senders that open and say nothing, or half a request, disturb nobody.
exec 9<>/dev/null
for i in $(seq 40); do exec {fd}<>"/dev/tcp/127.0.0.1/18201"; [ $((i % 2)) = 0 ] && printf 'POST /heartbeat HTTP/1.1\r\nContent-Length: 100\r\n\r\n{' >&"$fd"; done
for i in $(seq 10); do beat 1 || fail "heartbeat beside half-open senders"; done
echo "ok: half-open senders"

# A booked plan: empty, switch configuration and give back, across the death of two leaders.
t() { date -u -d "+$1 seconds" +%Y-%m-%dT%H:%M:%SZ; }
g0=$(gen 2)
sed 's/"share": 0.2/"share": 0.17/' examples/kuehlwacht/config.json >c.json
outcome 7 book "$(t 4)" empty nuernberg >/dev/null || fail "book empty"
outcome 3 book "$(t 6)" apply c.json >/dev/null || fail "book apply"
outcome 10 book "$(t 12)" give-back nuernberg >/dev/null || fail "book give-back"
l1=$(leader 2); crash "$l1"
o=2; [ "$(index "$l1")" = 2 ] && o=3
# Once fired, the district is empty until it is given back, which may be before we look.
emptied() {
  ctl $o plan >plan.txt && grep -q 'done  *empty nuernberg' plan.txt || return 1
  grep -q '^emptied nuernberg' plan.txt || grep -q 'done  *give-back nuernberg' plan.txt
}
until_ok 30 "the district is emptied on time without $l1" emptied
one "$l1"
until_ok 30 "$l1 is ready again" ready "$(index "$l1")"
l2=$(leader $o); crash "$l2"
o=2; [ "$(index "$l2")" = 2 ] && o=3
moves() { [ "$(ctl $o --json plan | grep -c '"state": "done"')" = 3 ]; }
until_ok 60 "all three moves are done without $l2" moves
one "$l2"
outcome $o plan >plan.txt || fail "plan"
grep -q '^emptied nuernberg' plan.txt && fail "the district must be given back"
n=$(gen $o); [ "$n" = $((g0 + 1)) ] || fail "the booked configuration must be in force once: $n after $g0"
until_ok 30 "all nodes are ready" all_ready

# A whole zone is killed; orders are taken, senders served; it comes back.
g=$(gen 2)
crash nuernberg-{1,2,3,4}
outcome 2 --key zone --base "$g" change a.json >/dev/null || fail "an order must be taken without a zone"
echo "ok: an order is taken without a zone"
until_ok 10 "heartbeats are served without a zone" beat_now 9
for n in nuernberg-{1,2,3,4}; do one $n; done
until_ok 30 "all nodes are ready" all_ready

# All twelve at once. What was acknowledged is read back, and all are ready again.
g=$(gen 2)
crash "${nodes[@]}"
for n in "${nodes[@]}"; do one "$n"; done
until_ok 40 "all nodes are ready after a total loss" all_ready
n=$(gen 7); [ "$n" = "$g" ] || fail "generation $n after $g"
until_ok 10 "heartbeats from both regions" eval 'beat_now 2 && beat_now 10'

# Two disks of three and every memory: nobody serves; the last resort brings back what is left.
l=$(leader 2); k=$(index "$l")
read -r r g <<<"$(ctl 2 --json status | sed -n 's/.*"reign": \([0-9]*\).*/\1/p;s/.*"generation": \([0-9]*\).*/\1/p' | paste -sd' ')"
ctl "$k" rescue "$r" "$g" 2>err; [ $? = 1 ] || fail "a rescue must be denied while a majority stands"
crash "${nodes[@]}"
for n in muenchen-1 nuernberg-1 frankfurt-1; do [ $n = "$l" ] || rm -rf "run/kuehlwacht/data/$n"; done
for n in "${nodes[@]}"; do one "$n"; done
seen() { [ "$(ctl "$k" --json status | sed -n 's/.*"nodesAlive": \([0-9]*\).*/\1/p')" = 12 ]; }
until_ok 30 "twelve nodes see each other again" seen
ready "$k" >/dev/null && fail "without a majority nobody may serve"
ctl "$k" rescue "$r" $((g + 1)) 2>err; [ $? = 1 ] || fail "a rescue must name what is held"
until_ok 20 "the last resort is taken at $l" ctl "$k" rescue "$r" "$g"
until_ok 40 "all nodes are ready after the last resort" all_ready
outcome 9 --json config | grep -q '"share": 0.19' || fail "the configuration held by $l must be in force"
until_ok 20 "orders are taken again" ctl 9 empty nuernberg
stop
echo "all ok"
