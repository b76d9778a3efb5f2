//! Setup of the process's logger.

use {
    crate::conf::{LogFormat, LogSettings},
    logforth::{
        append::Stderr,
        filter::rustlog::RustLogFilterBuilder,
        layout::{JsonLayout, TextLayout},
    },
};

/// Writes log messages to standard error in the configured format.
pub(crate) fn init_logging(settings: &LogSettings) {
    let spec = settings.level.clone();
    let result = logforth::starter_log::builder()
        .dispatch(|dispatch| {
            let dispatch = dispatch.filter(RustLogFilterBuilder::from_spec(spec).build());
            match settings.format {
                LogFormat::Text => {
                    dispatch.append(Stderr::default().with_layout(TextLayout::default().no_color()))
                }
                LogFormat::Json => {
                    dispatch.append(Stderr::default().with_layout(JsonLayout::default()))
                }
            }
        })
        .try_apply();
    if let Err(error) = result {
        eprintln!("failed to set up logging: {error}");
    }
}
