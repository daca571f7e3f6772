#include "timer_wheel/timer_wheel.h"

#include <algorithm>
#include <bit>

namespace whinpost::timer_wheel {

void Timer::disarm() {
    if (next_ && wheel_) wheel_->unlink(*this);
}

TimerWheel::TimerWheel(Nanos now) : tick_(now / kTick) {
    for (auto& level : slots_)
        for (Head& h : level) h.previous_ = h.next_ = &h;
}

TimerWheel::~TimerWheel() {
    for (auto& level : slots_)
        for (Head& h : level) {
            while (h.next_ != &h) unlink(*h.next_);
            h.previous_ = h.next_ = nullptr;
        }
}

void TimerWheel::unlink(Timer& t) {
    t.previous_->next_ = t.next_;
    t.next_->previous_ = t.previous_;
    const std::size_t level = t.slot_ >> kBits, slot = t.slot_ & (kSlots - 1);
    if (const Head& h = slots_[level][slot]; h.next_ == &h)
        used_[level][slot / 64] &= ~(std::uint64_t{1} << (slot % 64));
    t.previous_ = t.next_ = nullptr;
    --armed_;
}

void TimerWheel::insert(Timer& t) {
    // Rounded up: a timer may come late by a tick, never early.
    const std::int64_t tick = std::max(tick_, (t.deadline_ + kTick - 1) / kTick);
    int level = 0;
    while (level + 1 < kLevels && (tick >> (kBits * (level + 1))) != (tick_ >> (kBits * (level + 1))))
        ++level;
    const std::int64_t farthest = ((tick_ >> (kBits * level)) | (kSlots - 1));
    const auto slot = static_cast<std::size_t>(std::min(tick >> (kBits * level), farthest) & (kSlots - 1));
    Head& h = slots_[static_cast<std::size_t>(level)][slot];
    t.slot_ = static_cast<std::uint16_t>((static_cast<std::size_t>(level) << kBits) | slot);
    t.next_ = &h;
    t.previous_ = h.previous_;
    h.previous_->next_ = &t;
    h.previous_ = &t;
    used_[static_cast<std::size_t>(level)][slot / 64] |= std::uint64_t{1} << (slot % 64);
    ++armed_;
}

void TimerWheel::arm(Timer& t, Nanos at) {
    t.disarm();
    t.wheel_ = this;
    t.deadline_ = at;
    insert(t);
}

// Takes all of a slot's timers onto a list of its own: what is done with them may fill the same slot again.
void TimerWheel::detach(int level, std::size_t slot, Head& lot) {
    Head& h = slots_[static_cast<std::size_t>(level)][slot];
    lot.previous_ = lot.next_ = &lot;
    if (h.next_ == &h) return;
    lot.next_ = h.next_;
    lot.previous_ = h.previous_;
    lot.next_->previous_ = lot.previous_->next_ = &lot;
    h.previous_ = h.next_ = &h;
    used_[static_cast<std::size_t>(level)][slot / 64] &= ~(std::uint64_t{1} << (slot % 64));
}

void TimerWheel::spill(int level, std::size_t slot) {
    Head lot;
    detach(level, slot, lot);
    while (lot.next_ != &lot) {
        Timer& t = *lot.next_;
        unlink(t);
        insert(t);
    }
    lot.previous_ = lot.next_ = nullptr;
}

// At the edge of a level's slot, the levels above hand down what stands in theirs.
void TimerWheel::cascade() {
    if (tick_ & (kSlots - 1)) return;
    for (int level = 1; level < kLevels; ++level) {
        const std::int64_t at = tick_ >> (kBits * level);
        spill(level, static_cast<std::size_t>(at & (kSlots - 1)));
        if (at & (kSlots - 1)) break;
    }
}

int TimerWheel::first_used(int level, std::size_t from) const {
    const auto& bits = used_[static_cast<std::size_t>(level)];
    for (std::size_t word = from / 64; word < bits.size(); ++word) {
        std::uint64_t b = bits[word];
        if (word == from / 64) b &= ~std::uint64_t{0} << (from % 64);
        if (b) return static_cast<int>(word * 64 + static_cast<std::size_t>(std::countr_zero(b)));
    }
    return -1;
}

Nanos TimerWheel::next_deadline() const {
    if (!armed_) return 0;
    for (int level = 0; level < kLevels; ++level) {
        const std::int64_t at = tick_ >> (kBits * level);
        const int slot = first_used(level, static_cast<std::size_t>(at & (kSlots - 1)));
        if (slot < 0) continue;
        return (((at & ~std::int64_t{kSlots - 1}) | slot) << (kBits * level)) * kTick;
    }
    return tick_ * kTick;
}

void TimerWheel::run_timers(Nanos now) {
    const std::int64_t last = now / kTick;
    while (tick_ <= last) {
        // Straight to the next tick at which anything stands or a level turns over.
        const std::int64_t turn_over = (tick_ | (kSlots - 1)) + 1;
        const int slot = first_used(0, static_cast<std::size_t>(tick_ & (kSlots - 1)));
        const std::int64_t to = slot < 0 ? turn_over : (tick_ & ~std::int64_t{kSlots - 1}) | slot;
        if (to > last) {
            // Stops at the edge of the slot; what stands further on keeps its place.
            tick_ = last + 1;
            cascade();
            return;
        }
        tick_ = to;
        if (slot < 0) {
            if (armed_ == 0) {  // nothing to move: no need to walk there
                tick_ = last + 1;
                return;
            }
            cascade();
            continue;
        }
        // What a timer arms for this very tick or earlier is put off to the next one: no turn without end.
        Head lot;
        detach(0, static_cast<std::size_t>(slot), lot);
        ++tick_;
        cascade();
        while (lot.next_ != &lot) {
            Timer& t = *lot.next_;
            unlink(t);
            t.on_deadline(now);
        }
        lot.previous_ = lot.next_ = nullptr;
    }
}

}  // namespace whinpost::timer_wheel
