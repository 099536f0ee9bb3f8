#include "peridotcleat/held_flows.h"

namespace peridotcleat::pvt {

const held_flow& held_flows::open(time_point now, const flow_key& key, std::int64_t nonce, incarnation holder)
{
    held_flow& flow = flows_[key];
    flow = {make_token(holder, next_counter_++), nonce, now, now};
    return flow;
}

void held_flows::close(time_point now, const flow_key& key)
{
    const auto it = flows_.find(key);
    if (it == flows_.end()) {
        return;
    }
    remember_end(now, key, it->second.nonce);
    flows_.erase(it);
}

held_flow* held_flows::find(const flow_key& key)
{
    const auto it = flows_.find(key);
    return it == flows_.end() ? nullptr : &it->second;
}

bool held_flows::ended(const flow_key& key, std::int64_t nonce) const
{
    const std::int64_t* last = ends_.find(key);
    return last != nullptr && *last == nonce;
}

std::vector<flow_key> held_flows::unused_since(time_point limit) const
{
    std::vector<flow_key> keys;
    for (const auto& [key, flow] : flows_) {
        if (flow.last_used < limit) {
            keys.push_back(key);
        }
    }
    return keys;
}

void held_flows::clear()
{
    flows_.clear();
    ends_.clear();
}

}  // namespace peridotcleat::pvt
