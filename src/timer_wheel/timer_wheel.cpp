#include "timer_wheel/timer_wheel.h"

#include <algorithm>
#include <bit>

namespace whinpost::timer_wheel {

void Timer::disarm() {
    if (next_ && wheel_) wheel_->unlink(*this);
}

TimerWheel::TimerWheel(Nanos now) : tick_(now / kTick) {
    for (auto& level : slots_)
        for (Head& head : level) head.previous_ = head.next_ = &head;
}

TimerWheel::~TimerWheel() {
    for (auto& level : slots_)
        for (Head& head : level) {
            while (head.next_ != &head) unlink(*head.next_);
            head.previous_ = head.next_ = nullptr;
        }
}

void TimerWheel::unlink(Timer& timer) {
    timer.previous_->next_ = timer.next_;
    timer.next_->previous_ = timer.previous_;
    const std::size_t level = timer.slot_ >> kBits, slot = timer.slot_ & (kSlots - 1);
    if (const Head& head = slots_[level][slot]; head.next_ == &head)
        used_[level][slot / 64] &= ~(std::uint64_t{1} << (slot % 64));
    timer.previous_ = timer.next_ = nullptr;
    --armed_;
}

void TimerWheel::insert(Timer& timer) {
    // Rounded up: a timer may fire up to a tick late, but never early.
    const std::int64_t tick = std::max(tick_, (timer.deadline_ + kTick - 1) / kTick);
    int level = 0;
    while (level + 1 < kLevels && (tick >> (kBits * (level + 1))) != (tick_ >> (kBits * (level + 1))))
        ++level;
    const std::int64_t last_slot = ((tick_ >> (kBits * level)) | (kSlots - 1));
    const auto slot = static_cast<std::size_t>(std::min(tick >> (kBits * level), last_slot) & (kSlots - 1));
    Head& head = slots_[static_cast<std::size_t>(level)][slot];
    timer.slot_ = static_cast<std::uint16_t>((static_cast<std::size_t>(level) << kBits) | slot);
    timer.next_ = &head;
    timer.previous_ = head.previous_;
    head.previous_->next_ = &timer;
    head.previous_ = &timer;
    used_[static_cast<std::size_t>(level)][slot / 64] |= std::uint64_t{1} << (slot % 64);
    ++armed_;
}

void TimerWheel::arm(Timer& timer, Nanos at) {
    timer.disarm();
    timer.wheel_ = this;
    timer.deadline_ = at;
    insert(timer);
}

// Moves all timers of a slot to the list `detached`, since handling them may add timers to the same slot.
void TimerWheel::detach(int level, std::size_t slot, Head& detached) {
    Head& head = slots_[static_cast<std::size_t>(level)][slot];
    detached.previous_ = detached.next_ = &detached;
    if (head.next_ == &head) return;
    detached.next_ = head.next_;
    detached.previous_ = head.previous_;
    detached.next_->previous_ = detached.previous_->next_ = &detached;
    head.previous_ = head.next_ = &head;
    used_[static_cast<std::size_t>(level)][slot / 64] &= ~(std::uint64_t{1} << (slot % 64));
}

void TimerWheel::redistribute(int level, std::size_t slot) {
    Head detached;
    detach(level, slot, detached);
    while (detached.next_ != &detached) {
        Timer& timer = *detached.next_;
        unlink(timer);
        insert(timer);
    }
    detached.previous_ = detached.next_ = nullptr;
}

// When the lowest level wraps around, moves the timers of the current slot of the next level down, and of
// each further level as long as the one below it wraps around too.
void TimerWheel::cascade() {
    if (tick_ & (kSlots - 1)) return;
    for (int level = 1; level < kLevels; ++level) {
        const std::int64_t at = tick_ >> (kBits * level);
        redistribute(level, static_cast<std::size_t>(at & (kSlots - 1)));
        if (at & (kSlots - 1)) break;
    }
}

int TimerWheel::first_used(int level, std::size_t from) const {
    const auto& bits = used_[static_cast<std::size_t>(level)];
    for (std::size_t word = from / 64; word < bits.size(); ++word) {
        std::uint64_t candidates = bits[word];
        if (word == from / 64) candidates &= ~std::uint64_t{0} << (from % 64);
        if (candidates)
            return static_cast<int>(word * 64 + static_cast<std::size_t>(std::countr_zero(candidates)));
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
        // Advances to the next tick that has timers, or at which the lowest level wraps around.
        const std::int64_t wrap_around = (tick_ | (kSlots - 1)) + 1;
        const int slot = first_used(0, static_cast<std::size_t>(tick_ & (kSlots - 1)));
        const std::int64_t to = slot < 0 ? wrap_around : (tick_ & ~std::int64_t{kSlots - 1}) | slot;
        if (to > last) {
            // Later timers keep their slots.
            tick_ = last + 1;
            cascade();
            return;
        }
        tick_ = to;
        if (slot < 0) {
            if (armed_ == 0) {  // no timers to cascade on the way to `last`
                tick_ = last + 1;
                return;
            }
            cascade();
            continue;
        }
        // Timers armed by these callbacks for this tick or earlier go to the next tick, since timers that arm
        // themselves for now would make the loop endless.
        Head detached;
        detach(0, static_cast<std::size_t>(slot), detached);
        ++tick_;
        cascade();
        while (detached.next_ != &detached) {
            Timer& timer = *detached.next_;
            unlink(timer);
            timer.on_deadline(now);
        }
        detached.previous_ = detached.next_ = nullptr;
    }
}

}  // namespace whinpost::timer_wheel
