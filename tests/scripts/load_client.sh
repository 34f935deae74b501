# Guards against a client that counts an answer without its request's content
# as answered, or a refused connection as anything but not run.  The key-value
# stand-in answers a booking with an empty 200 and a chat with 404.
set -u
BUILD=${BUILD:-build}
ADDRESS=127.0.7.2:17302
"$BUILD/load-client" --entry "$ADDRESS" --chats 2 --bookings 2 \
  --booking-path /lease --deadline-ms 400 | jq -c 'del(.resent)'
"$BUILD/standin-kv" --listen "$ADDRESS" &
pid=$!
until curl -s "http://$ADDRESS/test/stats" > /dev/null; do sleep 0.05; done
"$BUILD/load-client" --entry "$ADDRESS" --chats 3 --bookings 4 --threads 1 \
  --booking-path /lease --transcript /dev/stderr 2>&1 \
  | sed 's/ [0-9a-f]*-/ KEY-/'
"$BUILD/load-client" --entry 1234 --chats 1 2>&1
echo "exit status $?"
kill $pid
wait $pid
