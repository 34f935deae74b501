# Guards against a part of prompts that crashes one engine after the other,
# since each of its requests is new to the gateways.
bash tests/soak.sh 1 20 4 crash-part 2> /dev/null
