# Guards against a stand-in whose compare-and-swap, watches, leases or faults
# differ from the service's: the failure tests would then prove nothing.
set -u
BUILD=${BUILD:-build}
ADDRESS=127.0.7.1:17301
BASE=http://$ADDRESS
"$BUILD/standin-kv" --listen "$ADDRESS" &
pid=$!

call ()				# CURL-ARGUMENT... ; prints body, status, header
{
  curl -s -m 60 -w ' %{http_code} %header{x-revision}%header{x-lease}\n' "$@"
}

until curl -s "$BASE/test/stats" > /dev/null; do sleep 0.05; done

echo "-- compare-and-swap"
call -X PUT -d one "$BASE/kv/a/b?prev=0"
call -X PUT -d two "$BASE/kv/a/b?prev=0"
call "$BASE/kv/a/b"
call "$BASE/kv/absent"
echo "-- watch without a change, then with one"
call "$BASE/kv/a/b?after=1&wait_ms=20"
call "$BASE/kv/a/b?after=1&wait_ms=50000" > "${TMPDIR:-/tmp}/watch.$$" &
watch=$!
until curl -s "$BASE/test/stats" | grep -q '"watches":1'; do sleep 0.05; done
call -X PUT -d two "$BASE/kv/a/b?prev=1"
wait $watch
cat "${TMPDIR:-/tmp}/watch.$$"
rm -f "${TMPDIR:-/tmp}/watch.$$"
echo "-- a lapsed lease removes its keys and can't be renewed"
call -X POST "$BASE/lease?ttl_ms=60000"
call -X PUT -d held "$BASE/kv/held?prev=0&lease=1"
call -X POST "$BASE/lease/1/renew"
call -X POST "$BASE/test/fault?kind=lapse-leases"
call "$BASE/kv/held"
call -X POST "$BASE/lease/1/renew"
echo "-- a lost answer leaves the write in effect"
call -X POST "$BASE/test/fault?kind=lose-answer&count=1"
call -X PUT -d three "$BASE/kv/a/b?prev=2"
call "$BASE/kv/a/b"
echo "-- outage"
call -X POST "$BASE/test/fault?kind=outage&status=503"
call "$BASE/kv/a/b"
call -X POST "$BASE/test/fault?kind=none"
call "$BASE/kv/a/b"
echo "-- list of VMs with a lag"
call -X PUT -d '[{"ip":"127.0.0.1"}]' "$BASE/vms"
call "$BASE/vms"
call -X POST "$BASE/test/fault?kind=vms-lag&ms=1000000"
call "$BASE/vms"
echo "-- largest value"
head -c 1048577 /dev/zero | call -X PUT --data-binary @- "$BASE/kv/big?prev=0"
head -c 1048576 /dev/zero | call -X PUT --data-binary @- "$BASE/kv/big?prev=0"
echo "-- restored from a copy"
call -X POST "$BASE/test/fault?kind=copy"
call -X PUT -d four "$BASE/kv/a/b?prev=4"
call -X PUT -d new "$BASE/kv/new?prev=0"
call -X POST "$BASE/test/fault?kind=restore"
call "$BASE/kv/a/b"
call "$BASE/kv/new"
call -X PUT -d five "$BASE/kv/a/b?prev=4"
curl -s -o /dev/null -w '%header{store-era}\n' "$BASE/kv/a/b"

kill $pid
wait $pid
echo "exit status $?"
