#include "peridotcleat/held_flows.h"

namespace peridotcleat::pvt {

namespace {

// Bounds the memory for ended flows; at 30 s it covers 136 ends a second, some 20 times the expected rate.
constexpr std::size_t max_ends = 4096;

}  // namespace

const held_flow& held_flows::open(time_point now, const flow_key& key, std::int64_t nonce, incarnation own)
{
    held_flow& flow = flows_[key];
    flow = {make_token(own, next_counter_++), nonce, now, now};
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
    const auto it = ends_.find(key);
    return it != ends_.end() && it->second == nonce;
}

void held_flows::remember_end(time_point now, const flow_key& key, std::int64_t nonce)
{
    ends_[key] = nonce;
    end_order_.push_back({now, key});
    if (end_order_.size() > max_ends) {
        ends_.erase(end_order_.front().key);
        end_order_.pop_front();
    }
}

void held_flows::forget_ends(time_point now)
{
    while (!end_order_.empty() && end_order_.front().when + datagram_lifetime < now) {
        ends_.erase(end_order_.front().key);
        end_order_.pop_front();
    }
}

std::vector<flow_key> held_flows::unused_since(time_point limit) const
{
    std::vector<flow_key> keys;
    for (const auto& [key, flow] : flows_) {
        if (flow.last_use < limit) {
            keys.push_back(key);
        }
    }
    return keys;
}

void held_flows::clear()
{
    flows_.clear();
    ends_.clear();
    end_order_.clear();
}

}  // namespace peridotcleat::pvt
