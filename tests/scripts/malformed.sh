# Guards against a process that ends, hangs or stops serving after malformed
# requests or frames, against a broken request that is not refused as invalid,
# and against a log that floods.
NET=62
. tests/lib.sh
ENTRY=127.$NET.2.1:8000
AGENT=127.$NET.1.1:7200
GOOD='{"model":"chat","stream":false,"max_tokens":2,"messages":[{"role":"user","content":"x"}]}'

# Sends a request and prints its status, and its outcome when it has one.
status ()			# PATH CURL-ARGUMENTS...
{
  local path=$1
  shift
  curl -s -m 60 -o /dev/null -w '%{http_code} %header{x-outcome}\n' "$@" \
    "http://$ENTRY$path"
}

tally ()			# WHAT
{
  sort | uniq -c | sed "s/^ *\([0-9]*\) /$1: \1 x /; s/ *$//"
}

post_chat ()			# BODY
{
  printf '%s' "$1" | status /v1/chat/completions --data-binary @-
}

cut_bodies ()
{
  local n
  for ((n = 0; n < ${#GOOD}; n++)); do
    post_chat "${GOOD:0:n}"
  done
}

binary_bodies ()
{
  local n
  for n in {1..60}; do
    head -c $((n * 37)) /dev/urandom \
      | status /v1/chat/completions --data-binary @-
  done
}

wrong_types ()
{
  local value
  for value in 1 -1 1e400 null true '[]' '{}' '["chat"]' '{"a":1}'; do
    post_chat "{\"model\":$value}"
  done
  for value in 1 null '"true"' '[]' '{}' '[true]'; do
    post_chat "{\"model\":\"chat\",\"stream\":$value}"
  done
  for value in '[]' '1' '"x"' 'null' "$(printf '[%.0s' {1..9000})"; do
    post_chat "$value"
  done
}

bad_numbers ()
{
  local name value
  for name in X-Deadline-Ms X-Priority; do
    for value in abc -1 +1 1.5 1e3 0x10 '1 2' 99999999999999999999999 '٣' \
      "$(printf '9%.0s' {1..2000})"; do
      post_chat_with "$name: $value"
    done
    post_chat_with "$name;"
  done
}

post_chat_with ()		# HEADER
{
  status /v1/chat/completions -d "$GOOD" -H "$1"
}

long_headers ()
{
  local name
  for name in X-Customer Idempotency-Key traceparent; do
    post_chat_with "$name: $(printf 'k%.0s' {1..1000})"
  done
}

bad_parents ()
{
  local value
  for value in x 00 00-0-0-01 \
    00-00000000000000000000000000000000-00f067aa0ba902b7-01 \
    ff-0123456789abcdef0123456789abcdef-00f067aa0ba902b7-01; do
    post_chat_with "traceparent: $value"
  done
}

bad_paths ()
{
  local path
  for path in / // /%00 /%ff%fe /..%2f..%2fetc /v1 /v1/ /v1/chat \
    "/$(printf 'p%.0s' {1..5000})" '/?a=b' '/%'; do
    status "$path" --path-as-is -d x
  done
}

# Sends bytes that are not HTTP or that end early, without reading an answer.
raw_http ()
{
  local n text
  for n in {1..40}; do
    head -c $((n * 50)) /dev/urandom > "/dev/tcp/${ENTRY%:*}/${ENTRY#*:}"
    printf 'POST /v1/chat/completions HTTP/1.1\r\nContent-Length: %s\r\n\r\n{' \
      "$n" > "/dev/tcp/${ENTRY%:*}/${ENTRY#*:}"
  done
  for text in 'GET' 'POST / HTTP/9.9\r\n\r\n' 'GET / HTTP/1.1\r\n: x\r\n\r\n' \
    'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n' \
    'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n'
  do
    printf "$text" > "/dev/tcp/${ENTRY%:*}/${ENTRY#*:}"
  done
} 2> /dev/null

# Sends a request and prints the status line of its answer.
raw_status ()			# WHAT HEAD BODY; with escapes
{
  local line
  exec 8<> "/dev/tcp/${ENTRY%:*}/${ENTRY#*:}"
  printf '%b' "$2" "$3" >&8
  read -t 20 -r line <&8 || line="no answer"
  exec 8>&-
  echo "$1: ${line%$'\r'}"
}

# Requests that two readers could take for different ones.
ambiguous_requests ()
{
  local post='POST /v1/chat/completions HTTP/1.1\r\n' host='Host: x\r\n'
  local n=${#GOOD} chunks
  local length="Content-Length: $n\r\n" coding='Transfer-Encoding: chunked\r\n'
  chunks="$(printf '%x' "$n")\r\n$GOOD\r\n0\r\n\r\n"
  raw_status "well formed" "$post$host$length\r\n" "$GOOD"
  raw_status "well formed chunks" "$post$host$coding\r\n" "$chunks"
  raw_status "two lengths" \
    "$post$host${length}Content-Length: $((n - 1))\r\n\r\n" "$GOOD"
  raw_status "length beside chunks" "$post$host$length$coding\r\n" "$chunks"
  raw_status "space before a colon" \
    "$post${host}Content-Length : $n\r\n\r\n" "$GOOD"
  raw_status "bare line feeds" \
    "POST /v1/chat/completions HTTP/1.1\nHost: x\nContent-Length: $n\n\n" \
    "$GOOD"
  raw_status "folded line" "$post${host}X-A: 1\r\n 2\r\n$length\r\n" "$GOOD"
  raw_status "no host" "$post$length\r\n" "$GOOD"
  raw_status "two hosts" "$post$host$host$length\r\n" "$GOOD"
  raw_status "unknown coding" \
    "$post${host}Transfer-Encoding: gzip\r\n\r\n" "$GOOD"
  raw_status "two codings" \
    "$post${host}Transfer-Encoding: gzip, chunked\r\n\r\n" "$chunks"
}

start_kv
start_runner 1 engine chat --token-us 1000
set_vms 1
start_entry 1
wait_for "chat" serves 1 chat

echo "== requests"
cut_bodies | tally "cut JSON"
binary_bodies | tally "binary body"
wrong_types | tally "wrong type"
bad_numbers | tally "bad number"
long_headers | tally "long header"
bad_parents | tally "bad traceparent"
bad_paths | tally "bad path"
head -c 3000000 /dev/zero | status /v1/chat/completions --data-binary @- \
  | tally "huge body"
head -c 200000 /dev/zero | tr '\0' h > "$WORK/huge"
status /v1/chat/completions -d "$GOOD" -H "X-Huge: $(head -c 100000 "$WORK/huge")" \
  | tally "huge header"
ambiguous_requests
raw_http
wait_for "chat after the requests" serves 1 chat
echo "served afterwards"

echo "== frames"
started=$SECONDS
"$BUILD/fuzz-frames" --connect $AGENT --frames 2000 --identities 4200 --seed 7 \
  || die "fuzz-frames"
for n in {1..20}; do
  head -c $((n * 100)) /dev/urandom > "/dev/tcp/${AGENT%:*}/${AGENT#*:}"
done 2> /dev/null
wait_for "chat after the frames" serves 1 chat
# The agent has met more identities than it remembers.
start_entry 2
wait_for "chat at a new entry" serves 2 chat
check_processes
echo "served afterwards"
wait_for "log line" grep -q '"peer":"fuzz"' "$WORK/agent1.log"
lines=$(grep -c '"peer":"fuzz"' "$WORK/agent1.log")
[ "$lines" -le $((1 + (SECONDS - started) / 60)) ] \
  && echo "at most one line a minute for the malformed messages of a peer"
# The last line may still be on its way.
wait_for "log of JSON lines" jq -e . "$WORK"/{entry1,entry2,agent1}.log
echo "every log line is JSON"
stop entry1
stop entry2
stop agent1
