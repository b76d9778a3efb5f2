//! Setup of the process's logger.

use {
    super::message_writer::MessageWriter,
    crate::conf::{LogFormat, LogSettings},
    logforth::{
        Layout,
        filter::rustlog::RustLogFilterBuilder,
        layout::{JsonLayout, TextLayout},
    },
    std::io,
};

/// Writes log messages to standard error in the configured format.
pub(crate) fn init_logging(settings: &LogSettings) {
    let layout: Box<dyn Layout> = match settings.format {
        LogFormat::Text => TextLayout::default().no_color().into(),
        LogFormat::Json => JsonLayout::default().into(),
    };
    let writer = match MessageWriter::start(layout, io::stderr()) {
        Ok(writer) => writer,
        Err(error) => {
            eprintln!("failed to set up logging: {error}");
            return;
        }
    };
    let filter = RustLogFilterBuilder::from_spec(settings.level.clone()).build();
    let result = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(writer))
        .try_apply();
    if let Err(error) = result {
        eprintln!("failed to set up logging: {error}");
    }
}
