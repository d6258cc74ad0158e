//! Separate processes on loopback addresses: the whole path, and failures of it.

mod common;

use std::time::Duration;

use common::Fleet;
use lagoonhollow_lib::request::answer::Code;
use lagoonhollow_testutils::backend::BLOCKS;
use lagoonhollow_testutils::backend::download_block;
use lagoonhollow_testutils::caller::Caller;
use lagoonhollow_testutils::hosts;

const PATIENCE: Duration = Duration::from_secs(30);

#[tokio::test(flavor = "current_thread")]
async fn report_channel_and_download_go_through() {
    let fleet = Fleet::spawn(2, 3);
    fleet.wait_until_granting();
    let address = fleet.service.doc.address;
    let mut caller = Caller::connect(hosts::next(), address).await.unwrap();

    let answer = caller.post("report", "alarm:r1").await.expect("an answer to the report");
    assert_eq!(answer.code, Code::Changed);
    assert_eq!(&*answer.body, b"done:alarm:r1");
    assert_eq!(fleet.runs("alarm:r1"), 1);

    let first = caller.observe("alarms").await.expect("an answer to the registration");
    assert_eq!(first.code, Code::Content);
    fleet.notify("flood");
    let note = caller.notification(PATIENCE).await.expect("a notification");
    assert_eq!(&*note.body, b"alarm:flood");

    let file = caller.download("firmware").await.expect("a download");
    let whole: String = (0..BLOCKS).map(|n| download_block("alarm", "firmware", n)).collect();
    assert_eq!(file, whole);
    fleet.stop();
}
