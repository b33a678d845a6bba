//! Faults and changes of one round of the soak, each with its time. They come in series and overlap.

use std::time::Duration;

use oorandom::Rand32;
use woadreach_local_tier::{MachineClass, TierSize};

/// Time in which faults begin.
const FAULTY: Duration = Duration::from_millis(1500);

/// What happens to the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// SIGKILL.
    Kill(MachineClass, u8),
    /// SIGTERM. The process is killed if it has not ended when it is started again.
    Terminate(MachineClass, u8),
    /// Start after a kill or a termination, in between the disk is emptied if `wipe` is set.
    Start {
        class: MachineClass,
        index: u8,
        wipe: bool,
    },
    /// SIGSTOP.
    Suspend(MachineClass, u8),
    /// SIGCONT.
    Resume(MachineClass, u8),
    /// SIGHUP.
    Reload(MachineClass, u8),
    /// The operator changes the configuration.
    ChangeConfiguration,
}

/// Draws the steps of a round.
pub(crate) struct FaultDraw<'a> {
    pub(crate) random: &'a mut Rand32,
    pub(crate) size: TierSize,
    /// At most one core machine loses its disk in a round.
    may_lose_disk: bool,
    steps: Vec<(Duration, Step)>,
}

impl<'a> FaultDraw<'a> {
    pub(crate) fn new(random: &'a mut Rand32, size: TierSize) -> Self {
        Self {
            random,
            size,
            may_lose_disk: true,
            steps: Vec::new(),
        }
    }

    /// Steps in the order of their times since the acknowledgement of the departure. In half of the rounds, all core
    /// machines are killed at first.
    pub(crate) fn draw(mut self) -> Vec<(Duration, Step)> {
        if self.below(2) == 0 {
            self.kill_all_cores();
        }
        for _ in 0..1 + self.below(4) {
            let at = self.millis(0, FAULTY.as_millis() as u32);
            self.draw_fault(at);
        }
        self.steps.sort_by_key(|(at, _)| *at);
        self.steps
    }

    fn kill_all_cores(&mut self) {
        let wiped = (self.below(3) == 0).then(|| self.index(MachineClass::Core));
        self.may_lose_disk = wiped.is_none();
        let start = self.millis(0, 200);
        for index in 1..=self.size.core {
            let killed_at = start + self.millis(0, 100);
            self.push(killed_at, Step::Kill(MachineClass::Core, index));
            let started_at = killed_at + self.millis(100, 800);
            self.start(started_at, MachineClass::Core, index, wiped == Some(index));
        }
    }

    fn draw_fault(&mut self, at: Duration) {
        match self.below(8) {
            0 => self.suspend(at, MachineClass::Core),
            1 | 2 => self.kill(at, MachineClass::Core),
            3 => self.terminate(at, MachineClass::Core),
            4 => self.kill(at, MachineClass::Storage),
            5 => self.kill(at, MachineClass::Edge),
            6 => {
                let edge = self.index(MachineClass::Edge);
                self.push(at, Step::Reload(MachineClass::Edge, edge));
            }
            _ => self.push(at, Step::ChangeConfiguration),
        }
    }

    fn suspend(&mut self, at: Duration, class: MachineClass) {
        let index = self.index(class);
        self.push(at, Step::Suspend(class, index));
        let resumed_at = at + self.millis(300, 1500);
        self.push(resumed_at, Step::Resume(class, index));
    }

    fn kill(&mut self, at: Duration, class: MachineClass) {
        let index = self.index(class);
        let wipe = class == MachineClass::Core && self.may_lose_disk && self.below(2) == 0;
        self.may_lose_disk &= !wipe;
        self.push(at, Step::Kill(class, index));
        let started_at = at + self.millis(50, 900);
        self.start(started_at, class, index, wipe);
    }

    fn terminate(&mut self, at: Duration, class: MachineClass) {
        let index = self.index(class);
        self.push(at, Step::Terminate(class, index));
        let started_at = at + self.millis(200, 2500);
        self.start(started_at, class, index, false);
    }

    fn start(&mut self, at: Duration, class: MachineClass, index: u8, wipe: bool) {
        self.push(at, Step::Start { class, index, wipe });
    }

    fn push(&mut self, at: Duration, step: Step) {
        self.steps.push((at, step));
    }

    fn below(&mut self, bound: u32) -> u32 {
        self.random.rand_range(0..bound)
    }

    fn millis(&mut self, from: u32, to: u32) -> Duration {
        Duration::from_millis(u64::from(self.random.rand_range(from..to)))
    }

    fn index(&mut self, class: MachineClass) -> u8 {
        let count = match class {
            MachineClass::Edge => self.size.edges,
            MachineClass::Core => self.size.core,
            MachineClass::Storage => self.size.storage,
        };
        1 + self.below(u32::from(count)) as u8
    }
}
